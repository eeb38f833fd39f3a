"""
Crash reports
=============

What gateways tell each other about crashes of replicas and their causes.
"""

import msgspec

from damasklead.crash_attribution import InterruptedRequest
from damasklead.ids import Fingerprint, InstanceId

__all__ = ["CrashCause", "CrashReport", "Exoneration"]


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
    A request or prompt part that crashes replicas.

    Attributes
    ----------
    seconds_left : float
        Time for which it is still refused.
    """

    fingerprint: Fingerprint
    seconds_left: float
