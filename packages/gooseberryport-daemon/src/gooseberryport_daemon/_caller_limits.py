"""Limits on the callers served at once and on the bytes of their request bodies."""

from __future__ import annotations

import threading
from collections.abc import Iterable, Iterator


class CallerLimits:
    """Count the callers that wait or are being answered, and the bytes of their bodies.

    It is safe to use from any thread.

    Parameters
    ----------
    max_callers
        Maximum number of callers at once.
    max_body_bytes
        Maximum number of bytes of all their bodies together.
    """

    def __init__(self, *, max_callers: int, max_body_bytes: int) -> None:
        self._lock = threading.Lock()
        self._max_callers = max_callers
        self._free_bytes = max_body_bytes
        self._active_count = 0

    @property
    def active_count(self) -> int:
        """Number of permits in use."""
        return self._active_count

    def acquire(self) -> CallerPermit | None:
        """Return a permit for a caller, or None if the maximum is reached."""
        with self._lock:
            if self._active_count >= self._max_callers:
                return None
            self._active_count += 1
        return CallerPermit(self)

    def _reserve(self, count: int) -> bool:
        with self._lock:
            if count > self._free_bytes:
                return False
            self._free_bytes -= count
        return True

    def _release(self, body_bytes: int) -> None:
        with self._lock:
            self._active_count -= 1
            self._free_bytes += body_bytes


class CallerPermit:
    """One caller's permit, held from its request's head until its answer is written.

    Parameters
    ----------
    caller_limits
        Limits against which the caller and its body are counted.
    """

    def __init__(self, caller_limits: CallerLimits) -> None:
        self._caller_limits = caller_limits
        self._body_bytes = 0
        self._released = False

    def reserve(self, body_bytes: int) -> bool:
        """Reserve bytes of a body; returns whether they were available."""
        fits = self._caller_limits._reserve(body_bytes)
        if fits:
            self._body_bytes += body_bytes
        return fits

    def release(self) -> None:
        """Release the permit and its bytes; repeated calls have no effect."""
        if not self._released:
            self._released = True
            self._caller_limits._release(self._body_bytes)


class PermitReleasingBody:
    """The body of an answer, which releases its caller's permit once it is written.

    Parameters
    ----------
    chunks
        The bytes.
    permit
        The caller's permit.
    """

    def __init__(self, chunks: Iterable[bytes], permit: CallerPermit) -> None:
        self._chunks = chunks
        self._permit = permit

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._chunks)

    def close(self) -> None:
        """Release the permit; the HTTP server calls this after the answer or a disconnect."""
        close = getattr(self._chunks, "close", None)
        if close is not None:
            close()
        self._permit.release()
