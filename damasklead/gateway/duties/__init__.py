"""
Duties of gateways
==================

Calls to the platform's API that are the task of one gateway at a time, the holder of a
lease.
"""
