"""
Process memory
==============

Reads the memory that this process takes.
"""

import os

__all__ = ["read_resident_bytes"]

_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def read_resident_bytes() -> int:
    """
    Return the resident size of this process in bytes; 0 if the system doesn't tell.

    Examples
    --------
    >>> read_resident_bytes() >= 0
    True
    """
    try:
        with open("/proc/self/statm", "rb") as file:
            return int(file.read().split()[1]) * _PAGE_BYTES
    except OSError:
        return 0
