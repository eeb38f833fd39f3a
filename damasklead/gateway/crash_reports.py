"""
Crash reports
=============

What gateways record, and tell each other, about crashes of replicas and their causes.
"""

from enum import Enum

import msgspec

from damasklead.crash_attribution import MIN_CRASHES, InterruptedRequest
from damasklead.ids import Fingerprint, InstanceId

__all__ = [
    "EXONERATED_CRASH_COUNT",
    "CrashCause",
    "CrashReport",
    "CrashSign",
    "Exoneration",
    "ObservedCrash",
]

# Count of crashes of a cause that a replica has responded to completely since.
EXONERATED_CRASH_COUNT = 0


class CrashReport(msgspec.Struct, array_like=True, frozen=True):
    """
    A replica's crash, reported by one gateway.

    Attributes
    ----------
    incarnation : int
        Start time of the crashed replica in milliseconds.
    fingerprints : tuple of Fingerprint
        The gateway's requests that the crash interrupted; empty ones are sound.
    prompts : tuple
        For each of these requests the shared parts of its prompt.
    """

    instance: InstanceId
    incarnation: int
    fingerprints: tuple[Fingerprint, ...]
    prompts: tuple[tuple[Fingerprint, ...], ...] = ()

    def list_requests(self) -> list[InterruptedRequest]:
        """Return the interrupted requests with the parts of their prompts."""
        prompts = self.prompts or ((),) * len(self.fingerprints)
        return [
            InterruptedRequest(fingerprint, parts)
            for fingerprint, parts in zip(self.fingerprints, prompts, strict=False)
        ]


class Exoneration(msgspec.Struct, array_like=True, frozen=True):
    """
    A suspect that a replica has responded to completely.

    Attributes
    ----------
    fingerprint : Fingerprint
        The request or prompt part.
    sender : InstanceId
        The gateway that saw the response.
    number : int
        Counts the sender's exonerations.
    """

    fingerprint: Fingerprint
    sender: InstanceId
    number: int


class CrashCause(msgspec.Struct, array_like=True, frozen=True):
    """
    A request or prompt part that crashes replicas, or was believed to.

    Attributes
    ----------
    seconds_left : float
        Time for which it is still refused; 0 if it is not.
    crash_count : int
        Crashes that it is a suspect of, as far as the sender knows;
        ``EXONERATED_CRASH_COUNT`` if it was exonerated.
    age_seconds : float or None
        Time since the crash that made it a cause, so many crashes before the last one
        as a cause has to explain, or since it was exonerated.  ``None`` if the sender
        doesn't know: it runs an earlier build, or was told by one that does.
    """

    fingerprint: Fingerprint
    seconds_left: float
    crash_count: int = MIN_CRASHES
    age_seconds: float | None = None

    @property
    def is_exonerated(self) -> bool:
        """Whether a replica has responded completely to it since."""
        return self.crash_count == EXONERATED_CRASH_COUNT


class CrashSign(Enum):
    """
    How a gateway found out about a crash.

    ``CONNECTION_REFUSED`` and ``REPLACED``, by a later start: the crash of a replica at
    which it had given up requests.
    """

    CONNECTION_FAILED = "connection-failed"
    CONNECTION_REFUSED = "connection-refused"
    REPLACED = "replaced"
    UNLISTED = "unlisted"
    REPORTED = "reported"


class ObservedCrash(msgspec.Struct, kw_only=True, frozen=True):
    """
    A crash as one gateway observed it, for its log.

    Attributes
    ----------
    report : CrashReport
        The crash with the requests that it interrupted.
    sign : CrashSign
        How the gateway found out.
    seconds_since_broken : float
        Time from the last broken response of the replica, or the last request that was
        given up there; 0 for a reported crash.
    max_crash_count : int
        Crashes that the gateway has counted for one of the suspects at most.
    """

    report: CrashReport
    sign: CrashSign
    seconds_since_broken: float
    max_crash_count: int
