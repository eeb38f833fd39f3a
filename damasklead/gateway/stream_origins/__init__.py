"""
Stream origins
==============

Which version of a replica's software began a stream, so that any gateway can let it go
on at that version.
"""
