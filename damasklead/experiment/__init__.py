"""
Experiments: the gateways' decisions on the paused clock, against modelled engines and
callers.  ``damasklead experiment FILE`` runs one.
"""
