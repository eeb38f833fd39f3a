"""
Experiments: a discrete-event simulation of the gateways' decisions against modelled
engines and callers.  ``damasklead experiment FILE`` runs one.
"""
