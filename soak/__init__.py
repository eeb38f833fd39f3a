"""
Randomized soak test: real gateway processes between stand-ins of the store and of
replicas, with faults injected from outside.  ``python -m soak --seed 1`` runs one seed.
"""
