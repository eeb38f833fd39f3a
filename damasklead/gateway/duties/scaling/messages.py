"""
Messages of scaling
===================

Load reports of coordinators to the holder of the duties and its deputy.  Each may be
lost or duplicated: the next one replaces it.
"""

import msgspec

from damasklead.gateway.coordination.cells import Cell

__all__ = ["CellLoad"]


class CellLoad(msgspec.Struct, array_like=True, frozen=True, tag=25):
    """
    Load of one cell since its coordinator's last report.

    Attributes
    ----------
    cell : Cell
    running, queued : int
        Requests at the cell's engines and in the coordinator's queue.
    arrivals, refusals : float
        Requests per second that arrived, and those of them that were refused.
    prefill_tokens : float
        Prompt tokens per second of the assigned requests that were estimated to be
        uncached.
    backlog : float
        Mean seconds of prefill work that the cell's engines have pending.
    shared_tokens : int
        Tokens of the different shared prompt parts of the last minute.
    """

    cell: Cell
    running: int
    queued: int
    arrivals: float
    refusals: float
    prefill_tokens: float
    backlog: float
    shared_tokens: int
