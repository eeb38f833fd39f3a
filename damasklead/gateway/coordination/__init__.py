"""
Coordination
============

Engines are partitioned into cells.  For each cell one gateway is the coordinator: the
other gateways request an assignment to an engine from it, so that it knows all requests
of the cell as they arrive.  Its state is soft state: a new coordinator rebuilds it from
the gateways' reports of their running requests.

``cells`` and ``coordinator`` make the decisions and do no I/O; ``assignment_client`` is
the client of the coordinators in a gateway.
"""
