"""
Crashes
=======

When a connection to a replica breaks, the requests that the replica was executing
become suspects of a crash.  A confirmed crash is spread to the other entries by gossip.
Requests that are found to cause crashes are quarantined at every entry.
"""

from collections.abc import Callable
from contextlib import suppress

import gevent

from damasklead.crash_attribution import MAX_SUSPECT_EVENTS, InterruptedRequest
from damasklead.daemon.pools import Pool
from damasklead.failures import Failure
from damasklead.gossip import GossipBuffer
from damasklead.ids import Fingerprint, InstanceId
from damasklead.membership import Member
from damasklead.messages import CrashNotice, QuarantineNotice, SoundPartNotice
from damasklead.quarantine import Quarantine
from damasklead.quarantine_rows import QuarantineRow, make_quarantine_write
from damasklead.requests import Request, Start
from damasklead.upstreams import UpstreamError

__all__ = ["CrashDetector"]


class CrashDetector:
    """
    Detects crashes of replicas and quarantines the requests that cause them.

    Parameters
    ----------
    instance : InstanceId
        This entry.
    quarantine : Quarantine
        Suspects and quarantined requests, by fingerprint.
    gossip : GossipBuffer
        Spreads crashes and quarantined fingerprints to the other entries.
    record_change : callable
        Adds a change to the audit trail.
    may_be_alive : callable
        Returns whether the upstream at an address, which can't be reached from here,
        may be alive nevertheless; ``None`` if no other entry can tell.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        quarantine: Quarantine,
        gossip: GossipBuffer,
        record_change: Callable[..., None],
        may_be_alive: Callable[[str], bool | None] = lambda _: None,
    ) -> None:
        self._may_be_alive = may_be_alive
        self._instance = instance
        self._quarantine = quarantine
        self._gossip = gossip
        self._record_change = record_change
        self._notice_number = 0

    def quarantine_culprits(self) -> None:
        """Quarantine the fingerprints that are identified as causes of crashes."""
        for fingerprint in self._quarantine.identify_culprits():
            self._quarantine_fingerprint(fingerprint, why="it crashed upstreams again")

    def record_broken_connection(
        self, pool: Pool, start: Start, member: Member | None
    ) -> None:
        """
        Treat a broken connection as a possible crash of the replica.

        The requests that this entry runs on the replica become suspects. The crash is
        confirmed in the background.

        Parameters
        ----------
        pool : Pool
            The replica's pool.
        start : Start
            The attempt whose connection broke.
        member : Member or None
            The replica, ``None`` when it is unknown.
        """
        if member is None:
            return
        prompts = {
            attempt.request.fingerprint: attempt.request.prompt_parts
            if attempt.event_count < MAX_SUSPECT_EVENTS
            else ()
            for attempt in pool.dispatcher.attempts.values()
            if attempt.replica == start.replica and attempt.request.fingerprint
        }
        if not prompts:
            return
        notice = CrashNotice(
            instance=member.instance,
            incarnation=member.incarnation,
            fingerprints=tuple(sorted(prompts)),
            prompts=tuple(prompts[item] for item in sorted(prompts)),
        )
        self.record_crash_notice(notice)
        gevent.spawn(self._confirm_crash, pool, member.address, notice)

    def record_crash_notice(self, notice: CrashNotice) -> None:
        """Record the suspects of a crash that this or another entry noticed."""
        self._quarantine.record_crash(
            notice.instance,
            notice.incarnation,
            frozenset(notice.fingerprints),
            [
                InterruptedRequest(fingerprint, parts)
                for fingerprint, parts in zip(
                    notice.fingerprints, notice.prompts, strict=False
                )
            ],
        )

    def record_success(self, request: Request) -> None:
        """Clear the prompt parts of a request at all entries, since it succeeded."""
        for part in self._quarantine.record_sound_parts(request.prompt_parts):
            self._notice_number += 1
            self._gossip.add_item(
                SoundPartNotice(
                    part=part, sender=self._instance, number=self._notice_number
                )
            )

    def _quarantine_fingerprint(self, fingerprint: Fingerprint, *, why: str) -> None:
        """Quarantine a fingerprint at every entry and store this for operators."""
        if self._quarantine.add_fingerprint(fingerprint):
            self._gossip.add_item(QuarantineNotice(fingerprint=fingerprint))
            row = QuarantineRow(
                fingerprint=fingerprint,
                number=self._quarantine.get_release_number(fingerprint) + 1,
                released=False,
                who=self._instance,
            )
            self._record_change(
                "quarantine",
                fingerprint,
                make_quarantine_write(row),
                before="suspect",
                after=why,
            )

    def _confirm_crash(self, pool: Pool, address: str, notice: CrashNotice) -> None:
        """
        Spread a crash by gossip if it is confirmed, and retract it otherwise.

        A replica that still reports the same incarnation has not crashed, and neither
        has one that only this entry can't reach.
        """
        if self._may_still_run(pool, address, notice):
            self._quarantine.retract_crash(notice.instance, notice.incarnation)
            return
        if self._gossip.add_item(notice):
            self._record_change(
                "crash", notice.instance, after=f"{len(notice.fingerprints)} suspects"
            )

    def _may_still_run(self, pool: Pool, address: str, notice: CrashNotice) -> bool:
        """Return whether a replica may run in the incarnation of a notice."""
        try:
            return self._has_reported(pool, address, notice)
        except UpstreamError as error:
            may_be_alive = self._may_be_alive(address)
            if may_be_alive:
                return True
            # A cut may have ended between the requests that found it unreachable.
            with suppress(UpstreamError):
                return self._has_reported(pool, address, notice)
            if may_be_alive is not None:
                return False
            # A replica that is silent, or answers with an error, may be busy, and this
            # entry may be cut off.
            is_refused = isinstance(error.__cause__, ConnectionRefusedError)
            return not is_refused and error.failure is not Failure.BROKEN

    def _has_reported(self, pool: Pool, address: str, notice: CrashNotice) -> bool:
        """Return whether the incarnation of a notice reports."""
        status = pool.upstream.fetch_status(address)
        return status.incarnation == notice.incarnation
