"""Hash functions that return the same value in every process."""

from __future__ import annotations

import xxhash

from gooseberryport_core.types import VmId

HASH_RANGE = 2.0**64


def rendezvous_weight(vm: VmId, name: str) -> int:
    """Return a VM's rendezvous hashing weight for a name; the highest weight wins."""
    return xxhash.xxh3_64_intdigest(f"{vm}|{name}".encode())


def hash_to_unit_interval(text: str) -> float:
    """Return a hash of a text, uniformly distributed over [0, 1]."""
    return xxhash.xxh3_64_intdigest(text.encode()) / HASH_RANGE
