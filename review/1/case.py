"""
Case 1
======

A replica in trouble answers a plain request with small chunks that never end.
"""

from pathlib import Path

from stall import EndlessReplica, run_stall
from standins import Record, make_chunk, run_case

# Eight bytes a chunk, as of a program that writes without a buffer; 53 KB a piece.
PIECE = make_chunk(b"x" * 8) * 4_096


async def case(record: Record) -> int:
    """Send orders while a plain request gets a body without end."""
    endless = EndlessReplica(
        head="Transfer-Encoding: chunked\r\n",
        piece=PIECE,
        sound_body=make_chunk(b"x") + make_chunk(b""),
    )
    return await run_stall(record, kind="idempotent", endless=endless)


run_case(case, Path(__file__).resolve().parent)
