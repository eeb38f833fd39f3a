"""
Tunnels
=======

Connections to replicas that go through another gateway or entry, for one that is cut
off from all replicas.  See ``docs/design/tunnels.md``.
"""
