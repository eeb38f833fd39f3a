"""
Tests
=====

They mirror the package, one module for each of its modules.
"""
