"""
Models
======

Small formal models of the core protocols, checked exhaustively by explicit-state model
checking.
"""
