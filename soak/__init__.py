"""
A randomized soak: real gateway processes between stand-ins, with faults injected from
outside.  ``python -m soak --seed 1`` plays one run.
"""
