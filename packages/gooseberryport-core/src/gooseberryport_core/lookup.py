"""Which entry VMs a caller should use."""

from __future__ import annotations

import msgspec
import xxhash

from gooseberryport_core._views import Peer
from gooseberryport_core.types import VmId, ZoneName


class LookupEntry(msgspec.Struct, frozen=True):
    """One entry VM of a look-up's answer."""

    vm: VmId
    zone: ZoneName
    http_address: str


class LookupSnapshot:
    """Answer look-ups; it never changes, so any thread may ask it.

    Parameters
    ----------
    entries
        The live entry VMs that take callers.
    max_age_s
        Time for which a caller may cache an answer; seconds.
    """

    def __init__(self, *, entries: tuple[Peer, ...], max_age_s: float) -> None:
        self._entries = entries
        self.max_age_s = max_age_s

    def rank(self, service: str, client: str) -> tuple[LookupEntry, ...]:
        """Return the entry VMs for a client, best first."""

        def weight(peer: Peer) -> int:
            return xxhash.xxh3_64_intdigest(f"{peer.vm}|{client}".encode())

        ordered = sorted(self._entries, key=weight, reverse=True)
        return tuple(LookupEntry(peer.vm, peer.zone, peer.http_address) for peer in ordered)
