"""
Case 3
======

A replica in trouble answers a stream with bytes that are no events and never end.
"""

from pathlib import Path

from stall import EndlessReplica, run_stall
from standins import Record, run_case

# Short lines with blank lines between them: 64 KB a piece.
PIECE = (b"x" * 6 + b"\n\n") * 8_192


async def case(record: Record) -> int:
    """Send orders while a stream gets bytes without end."""
    endless = EndlessReplica(
        head="Content-Type: text/event-stream\r\nConnection: close\r\n",
        piece=PIECE,
        sound_body=b"id: 1\ndata: x\n\n",
    )
    return await run_stall(record, kind="streaming", endless=endless)


run_case(case, Path(__file__).resolve().parent)
