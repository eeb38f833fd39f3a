"""
Keeper of claims
================

Settles and abandons claims, and retries this while the store is unavailable.
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
    """
    A claim whose end is still to be written.

    Attributes
    ----------
    claim : Claim
        The claim in its final state, or as it was to be acquired.
    version : int or None
        Version of the claim's row; ``None`` for a claim that is abandoned because the
        store did not confirm it.
    """

    claim: Claim
    version: int | None


class ClaimKeeper:
    """
    Writes the ends of one entry's claims to the store.

    Its length is the number of claims whose end is still to be written.

    Parameters
    ----------
    run_protocol : callable
        Runs a protocol against the platform and returns its result.
    clock : Clock
        Clock of the entry.
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
        """
        Write the final state of an acquired claim, later if the store is unavailable.

        Parameters
        ----------
        claim : Claim
            The claim in its final state.
        version : int
            Version of the claim's row.
        """
        self._try_write(_Pending(claim=claim, version=version))

    def abandon_claim(self, claim: Claim) -> None:
        """
        Abandon a claim that the store did not confirm, later if it is unavailable.
        """
        self._try_write(_Pending(claim=claim, version=None))

    def retry_pending(self) -> None:
        """Retry some pending claims, the oldest first, until one fails again."""
        for attempt in list(self._pending)[:MAX_RETRIES_PER_ROUND]:
            pending = self._pending.pop(attempt)
            if not self._try_write(pending):
                return

    def _try_write(self, pending: _Pending) -> bool:
        """Write a claim's end; a claim whose write fails becomes pending again."""
        if pending.version is None:
            is_written = self._run_protocol(abandon(pending.claim))
        else:
            is_written = self._run_protocol(
                settle(pending.claim, version=pending.version)
            )
        if not is_written:
            self._add_pending(pending)
        return is_written

    def _add_pending(self, pending: _Pending) -> None:
        """Add a pending claim; the oldest is dropped when there are too many."""
        self._pending[pending.claim.attempt] = pending
        if len(self._pending) > MAX_PENDING_CLAIMS:
            _, dropped = self._pending.popitem(last=False)
            logs.warning(
                "claim-unsettled",
                key=dropped.claim.key,
                state=dropped.claim.state.value,
            )
