"""Bounds on what callers may hold in this process at once."""

from __future__ import annotations

import threading
from collections.abc import Iterable, Iterator


class Places:
    """Count the callers that wait or are being answered, and the bytes of their bodies.

    It is safe to use from any thread.

    Parameters
    ----------
    callers
        Most callers at once.
    body_bytes
        Most bytes of their bodies, together.
    """

    def __init__(self, *, callers: int, body_bytes: int) -> None:
        self._lock = threading.Lock()
        self._free_callers = callers
        self._free_bytes = body_bytes
        self._held = 0

    @property
    def held(self) -> int:
        """How many callers are held."""
        return self._held

    def take(self) -> Place | None:
        """Return a place for a caller, or None if there is none."""
        with self._lock:
            if self._held >= self._free_callers:
                return None
            self._held += 1
        return Place(self)

    def _reserve(self, count: int) -> bool:
        with self._lock:
            if count > self._free_bytes:
                return False
            self._free_bytes -= count
        return True

    def _release(self, body_bytes: int) -> None:
        with self._lock:
            self._held -= 1
            self._free_bytes += body_bytes


class Place:
    """One caller's place, from its request's head until its answer is written.

    Parameters
    ----------
    places
        Where it is counted.
    """

    def __init__(self, places: Places) -> None:
        self._places = places
        self._body_bytes = 0
        self._released = False

    def reserve(self, body_bytes: int) -> bool:
        """Reserve bytes of a body; returns whether they fit."""
        fits = self._places._reserve(body_bytes)
        if fits:
            self._body_bytes += body_bytes
        return fits

    def release(self) -> None:
        """Give the place back; more than once does no harm."""
        if not self._released:
            self._released = True
            self._places._release(self._body_bytes)


class HeldBody:
    """The body of an answer, which gives its caller's place back once it is written.

    Parameters
    ----------
    chunks
        The bytes.
    place
        The caller's place.
    """

    def __init__(self, chunks: Iterable[bytes], place: Place) -> None:
        self._chunks = chunks
        self._place = place

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._chunks)

    def close(self) -> None:
        """Called by the HTTP server once the answer is out, or its caller gone."""
        close = getattr(self._chunks, "close", None)
        if close is not None:
            close()
        self._place.release()
