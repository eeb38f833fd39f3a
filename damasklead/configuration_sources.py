"""
Sources of the configuration
============================

Decides when an entry requests the configuration from another entry, and from which one.
No I/O.

Load pattern: the platform turns away some entries, or serves them an older copy, while
it serves the others a new configuration.  All of those turned away learn of it from the
same few entries, some of which may be gone by then.  An entry that starts has nothing
but what the platform serves until others have sent it their state; one that was
suspended lacks what became known meanwhile.
"""

import random
from collections.abc import Collection

from damasklead.clock import Clock
from damasklead.ids import InstanceId

__all__ = ["ConfigurationSources"]

# Time that the platform has to serve a version before another entry is asked for it;
# otherwise all entries would ask after each publication.
PLATFORM_SECONDS = 0.5
MIN_RETRY_SECONDS = 0.5
# Responses have the size of the configuration.
MAX_RETRY_SECONDS = 4.0
# Interval of queries while the platform can't be read.  Entries that have nothing newer
# don't respond.
UNREADABLE_INTERVAL_SECONDS = 2.0
# Time after which the version that an entry reported is forgotten.  In large
# deployments, entries send messages once a minute.
VERSION_TTL_SECONDS = 300.0
# Entries that have to respond after a start, and the time after which the platform's
# configuration is trusted without them.  One that responds may have started just now.
START_RESPONSES = 2
START_SECONDS = 3.0
# Time without a call of ``choose_peer`` after which the process was suspended.
SUSPENSION_SECONDS = 2.0


class ConfigurationSources:
    """
    The versions that other entries report, and when they are asked for them.

    Parameters
    ----------
    clock : Clock
    source : random.Random
        Chooses among the other entries.

    Examples
    --------
    >>> from damasklead.clock import ManualClock
    >>> clock = ManualClock()
    >>> sources = ConfigurationSources(clock=clock, source=random.Random(1))
    >>> for peer in ("entry-1", "entry-3"):
    ...     sources.record_response(peer)
    >>> sources.is_complete
    True
    >>> sources.record_version("entry-2", 7)
    >>> sources.is_outdated(6)
    True
    >>> sources.choose_peer(6, peers=["entry-1", "entry-2"], is_platform_readable=True)
    >>> clock.advance(PLATFORM_SECONDS)
    >>> sources.choose_peer(6, peers=["entry-1", "entry-2"], is_platform_readable=True)
    'entry-2'
    """

    def __init__(self, *, clock: Clock, source: random.Random) -> None:
        self._clock = clock
        self._random = source
        # Version of each entry, and the clock time of its message.
        self._versions: dict[InstanceId, tuple[int, float]] = {}
        self._next_query_at: float | None = None
        self._retry_seconds = MIN_RETRY_SECONDS
        # Entries that were asked since the configuration was last up to date.
        self._asked: set[InstanceId] = set()
        self._started_at = self._called_at = clock.now()
        self._responders: set[InstanceId] = set()
        self._wanted_responses = START_RESPONSES

    @property
    def is_complete(self) -> bool:
        """Whether enough entries have sent their state since the start."""
        return len(self._responders) >= self._wanted_responses

    @property
    def is_starting(self) -> bool:
        """
        Whether others haven't sent their state yet after a start, or a suspension,
        which a request may notice first.
        """
        self._check_suspension()
        return (
            not self.is_complete
            and self._clock.now() - self._started_at < START_SECONDS
        )

    def record_response(self, peer: InstanceId) -> None:
        """Record that another entry has sent its state."""
        self._responders.add(peer)

    def record_version(self, peer: InstanceId, version: int) -> None:
        """Record the version of the configuration that another entry has."""
        self._versions[peer] = (version, self._clock.now())

    def is_outdated(self, version: int) -> bool:
        """Return whether another entry has reported a newer version."""
        return any(newer > version for newer in self._get_versions().values())

    def choose_peer(
        self,
        version: int,
        *,
        peers: Collection[InstanceId],
        is_platform_readable: bool,
    ) -> InstanceId | None:
        """
        Return the entry to ask for the configuration now, ``None`` for none.

        Until ``is_complete``, it has to be asked for all that it has.

        Entries that reported a newer version come first, then the others, which may
        have got it meanwhile; each is asked once before any is asked again.

        Parameters
        ----------
        version : int
            The active version, 0 for none.
        peers : collection of InstanceId
            The other entries that can be asked.
        is_platform_readable : bool
            Whether the last read of the configuration from the platform succeeded.
        """
        self._check_suspension()
        now = self._called_at = self._clock.now()
        self._wanted_responses = min(START_RESPONSES, len(peers))
        is_behind = version == 0 or not self.is_complete or self.is_outdated(version)
        if not is_behind:
            self._retry_seconds = MIN_RETRY_SECONDS
            if is_platform_readable:
                self._next_query_at = None
                self._asked.clear()
                return None
        if self._next_query_at is None:
            waits = is_platform_readable and not self.is_starting
            self._next_query_at = now + PLATFORM_SECONDS * waits
        if now < self._next_query_at or not peers:
            return None
        self._next_query_at = now + UNREADABLE_INTERVAL_SECONDS
        if is_behind:
            self._next_query_at = now + self._retry_seconds
            if not self.is_starting:
                self._retry_seconds = min(MAX_RETRY_SECONDS, 2 * self._retry_seconds)
        return self._choose(version, peers)

    def _check_suspension(self) -> None:
        """Start again if the process was suspended."""
        now = self._clock.now()
        if now - self._called_at > SUSPENSION_SECONDS:
            self._started_at = self._called_at = now
            self._responders.clear()
            self._next_query_at = None

    def _choose(self, version: int, peers: Collection[InstanceId]) -> InstanceId:
        if self._asked.issuperset(peers):
            self._asked.clear()
        unasked = sorted(set(peers) - self._asked)
        versions = self._get_versions()
        newer = [peer for peer in unasked if versions.get(peer, 0) > version]
        peer = self._random.choice(newer or unasked)
        self._asked.add(peer)
        return peer

    def _get_versions(self) -> dict[InstanceId, int]:
        """Return the last reported versions, and forget those of long ago."""
        oldest = self._clock.now() - VERSION_TTL_SECONDS
        for peer in [item for item, (_, at) in self._versions.items() if at < oldest]:
            del self._versions[peer]
        return {peer: version for peer, (version, _) in self._versions.items()}
