"""
Explaining
==========

Explains from the structured logs of any number of gateways what happened to requests:
the trace of one request, and tables of the requests that were lost or late by cause.
"""
