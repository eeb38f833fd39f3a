"""
Models
======

Small specifications of the core protocols, checked exhaustively.
"""
