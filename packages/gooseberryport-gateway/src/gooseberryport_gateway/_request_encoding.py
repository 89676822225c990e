"""Encode the head of a client's request for an upstream."""

from __future__ import annotations

from gooseberryport_core.gateway.upstreams import Upstream
from gooseberryport_gateway._attempts import Job
from gooseberryport_gateway._headers import end_to_end_headers
from gooseberryport_gateway.wire import HeaderNames


class RequestEncoder:
    """Encodes the heads of requests.

    Parameters
    ----------
    names
        Header fields of clients and upstreams.
    """

    def __init__(self, names: HeaderNames) -> None:
        self._names = names
        self._rewritten = frozenset([names.deadline_ms, names.expected_upstream])
        self._rewritten_with_keys = self._rewritten | {names.authorization, names.tenant}

    def encode(self, job: Job, upstream: Upstream, *, left_ms: int, requires_keys: bool) -> bytes:
        """Return the head of a request; its body follows in chunks.

        Parameters
        ----------
        job
            The request.
        upstream
            Upstream that it is sent to.
        left_ms
            Time until the request's deadline; milliseconds.
        requires_keys
            Whether the configuration has tenants. Keys are secrets, and upstreams trust the
            tenant's name.
        """
        req, names = job.req, self._names
        # The configuration may have changed since the key was checked.
        strips_key = job.key_checked or requires_keys
        rewritten = self._rewritten_with_keys if strips_key else self._rewritten
        lines = [req.method + b" " + req.target + b" HTTP/1.1"]
        lines.extend(
            name + b": " + value
            for name, value in end_to_end_headers(req.headers)
            if name not in rewritten
        )
        if job.tenant is not None:
            lines.append(names.tenant + b": " + job.tenant.name.encode())
        lines.append(names.deadline_ms + b": %d" % left_ms)
        lines.append(names.expected_upstream + b": " + upstream.id.encode())
        if req.body or req.method not in (b"GET", b"HEAD", b"OPTIONS", b"DELETE"):
            lines.append(b"content-length: %d" % req.body_bytes)
        return b"\r\n".join(lines) + b"\r\n\r\n"
