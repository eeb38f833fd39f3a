"""
Benchmarks
==========

Measurements of routing policies, of the data path, and of the costs that the capacity
page is based on.
"""
