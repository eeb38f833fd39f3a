"""
Tests
=====

The test modules mirror the modules of the package.
"""
