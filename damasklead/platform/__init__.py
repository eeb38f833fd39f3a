"""
Platform adapter
================

Translates between the platform and the gateway: headers of requests and responses, the
operators' configuration, the list of replicas, and the store's rows.  The platform's
own names are used only in this package, in ``deploy/`` and in the tests.
"""
