"""
Platform adapter
================

Translates between the users' platform and the gateway: headers of requests and
answers, the operators' configuration, the list of replicas, and the store's rows.
Their names stand in this package, in ``deploy/`` and in its tests, and nowhere else.
"""
