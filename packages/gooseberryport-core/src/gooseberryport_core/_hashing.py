"""Hashes that come out the same in every process."""

from __future__ import annotations

import xxhash

from gooseberryport_core.types import VmId

HASH_RANGE = 2.0**64


def rendezvous_weight(vm: VmId, name: str) -> int:
    """Return a VM's weight for a name; the VM with the highest weight is chosen."""
    return xxhash.xxh3_64_intdigest(f"{vm}|{name}".encode())


def hash_to_unit_interval(text: str) -> float:
    """Return where a text lies in [0, 1]; texts are spread evenly."""
    return xxhash.xxh3_64_intdigest(text.encode()) / HASH_RANGE
