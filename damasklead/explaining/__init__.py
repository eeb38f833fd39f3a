"""
Explaining
==========

What happened to requests, from the structured logs of any number of gateways: the story
of one request, and a table of what was lost by cause.
"""
