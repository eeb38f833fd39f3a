"""
Keeper of claims
================

Settles and releases claims, again and again while the store is out.
"""

from collections import OrderedDict
from collections.abc import Callable

import msgspec

from damasklead import logs
from damasklead.claims import Claim, abandon, settle
from damasklead.clock import Clock
from damasklead.ids import AttemptId
from damasklead.protocol import Steps

__all__ = ["ClaimKeeper"]

MAX_PENDING_CLAIMS = 1000
MAX_RETRIES_PER_ROUND = 50


class _Pending(msgspec.Struct, kw_only=True):
    claim: Claim
    version: int | None


class ClaimKeeper:
    """
    Claims of one entry whose end the store does not hold yet.

    Parameters
    ----------
    run_protocol : callable
        Drives a protocol against the platform.
    """

    def __init__(
        self, *, run_protocol: Callable[[Steps[bool]], bool], clock: Clock
    ) -> None:
        self._run_protocol = run_protocol
        self._clock = clock
        self._pending: OrderedDict[AttemptId, _Pending] = OrderedDict()

    def __len__(self) -> int:
        return len(self._pending)

    def settle_claim(self, claim: Claim, *, version: int) -> None:
        """Record the end of an acquired claim, later if need be."""
        self._try_write(_Pending(claim=claim, version=version))

    def abandon_claim(self, claim: Claim) -> None:
        """Release a claim that could not be confirmed, later if need be."""
        self._try_write(_Pending(claim=claim, version=None))

    def retry_pending(self) -> None:
        """Try again what is pending, as long as the store answers."""
        for attempt in list(self._pending)[:MAX_RETRIES_PER_ROUND]:
            pending = self._pending.pop(attempt)
            if not self._try_write(pending):
                return

    def _try_write(self, pending: _Pending) -> bool:
        if pending.version is None:
            done = self._run_protocol(abandon(pending.claim))
        else:
            done = self._run_protocol(settle(pending.claim, version=pending.version))
        if not done:
            self._add_pending(pending)
        return done

    def _add_pending(self, pending: _Pending) -> None:
        self._pending[pending.claim.attempt] = pending
        if len(self._pending) > MAX_PENDING_CLAIMS:
            _, dropped = self._pending.popitem(last=False)
            logs.warning(
                "claim-unsettled",
                key=dropped.claim.key,
                state=dropped.claim.state.value,
            )
