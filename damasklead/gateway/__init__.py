"""
Gateway
=======

Reverse proxy in front of the replicas: it matches each request to a route by host and
path prefix, forwards it to a replica of the route's service, and relays the response
unchanged.

The decisions are in modules without I/O; ``callers``, ``upstream_http``,
``forwarding``, ``list_follower`` and ``process`` do the I/O.
"""
