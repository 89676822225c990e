"""When a gateway that follows the store reads it anew instead of following each change.

Load pattern: large configurations in quick succession, and a slow link. A watch is answered with
all versions since the last one, though only the newest counts. While one answer arrives, more are
written than the link carries, so a gateway that follows each change falls ever further behind, and
sends requests where only an old configuration allows it. A full read has one version only.
"""

from __future__ import annotations

from collections.abc import Sequence

MIN_SLOW_TRANSFER_S = 0.4
"""Transfer time of an answer from which the link counts as slow; seconds."""

MIN_SUPERSEDED_FRACTION = 0.3
"""Part of an answer's bytes in superseded values from which the next answers are expected to be as
large."""


def superseded_fraction(changes: Sequence[tuple[str, int]]) -> float:
    """Return the part of the bytes of some changes that later ones of the same key supersede.

    Parameters
    ----------
    changes
        Key and size of each change, in order; bytes.
    """
    total = sum(num_bytes for _, num_bytes in changes)
    return 1.0 - sum(dict(changes).values()) / total if total else 0.0


def reads_anew(changes: Sequence[tuple[str, int]], *, transfer_s: float, state_bytes: int) -> bool:
    """Return whether the next call is to be a full read instead of a watch.

    Parameters
    ----------
    changes
        Key and size of each change of the last watch, in order; bytes.
    transfer_s
        Time from the first to the last byte of its answer; seconds.
    state_bytes
        Size of all known values, which a full read returns; bytes.
    """
    return (
        transfer_s >= MIN_SLOW_TRANSFER_S
        and sum(num_bytes for _, num_bytes in changes) > state_bytes
        and superseded_fraction(changes) >= MIN_SUPERSEDED_FRACTION
    )
