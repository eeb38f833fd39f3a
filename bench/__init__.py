"""
Benches
=======

Measurements of the policy, the data path and the slopes of the capacity page.
"""
