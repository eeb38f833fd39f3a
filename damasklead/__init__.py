"""
damasklead
==========

A router for language-model traffic with service levels and priorities, and the
coordination parts that it is made of.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
