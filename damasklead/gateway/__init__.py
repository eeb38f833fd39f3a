"""
Gateway
=======

The forwarding data path: requests of any path go, by host and prefix, to a replica of
their route's service, and the replica's answer goes back unchanged.

Modules without I/O decide; ``callers``, ``upstream_http``, ``forwarding``,
``following`` and ``process`` carry the decisions out.
"""
