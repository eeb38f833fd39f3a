"""
Coordination
============

Engines are divided into cells.  One gateway of each cell is its coordinator: the others
ask it where a request goes, so it sees all of the cell's work as it happens.  All of
its state is soft: it is rebuilt from what the gateways run.

``cells`` and ``coordinator`` decide and hold no I/O; ``asking`` is the gateway's side.
"""
