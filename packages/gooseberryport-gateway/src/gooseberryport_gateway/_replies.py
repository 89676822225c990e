"""Replies to clients, and the log line for the end of each request."""

from __future__ import annotations

import asyncio
from typing import Any

from gooseberryport_core.decoding import MAX_DURATION_S
from gooseberryport_core.gateway.model import Route
from gooseberryport_core.gateway.refusals import RefusalCause, retry_after
from gooseberryport_core.gateway.tenants import KeyRejection
from gooseberryport_core.log_events import LogNumber
from gooseberryport_gateway._attempts import Job
from gooseberryport_gateway._client_messages import ClientRequest, Reply
from gooseberryport_gateway._headers import Headers, end_to_end_headers
from gooseberryport_gateway._http_response import HttpResponse
from gooseberryport_gateway._state import GatewayState
from gooseberryport_gateway.wire import HeaderNames


class Replies:
    """Makes the replies to clients; each one is counted and logged.

    Parameters
    ----------
    state
        State of the gateway.
    names
        Header fields of clients and upstreams.
    """

    def __init__(self, *, state: GatewayState, names: HeaderNames) -> None:
        self._state = state
        self._names = names
        self._loop = asyncio.get_running_loop()

    def pass_on(self, job: Job, response: HttpResponse) -> Reply:
        """Return an upstream's response to the client."""
        self.log(job, LogNumber.GATEWAY_REQUEST_ENDED, status=response.status)
        return _reply(response)

    def failed(self, job: Job) -> Reply:
        """Return the reply to a request that no upstream answered."""
        if job.last_failure is not None:
            self.log(job, LogNumber.GATEWAY_REQUEST_FAILED, status=job.last_failure.status)
            return _reply(job.last_failure)
        if job.may_have_run:
            self.log(job, LogNumber.GATEWAY_REQUEST_FAILED, status=502)
            return self._empty(502, job.request_id)
        return self.not_run(job)

    def not_run(self, job: Job) -> Reply:
        """Return a refusal, which says that the request did not run."""
        self.log(job, LogNumber.GATEWAY_REQUEST_REFUSED, status=503)
        draw = self._state.rng.random()
        retry_s = retry_after(reason=job.refusal_cause, draw=draw)
        if job.retry_s is not None and job.refusal_cause is RefusalCause.FULL:
            retry_s = job.retry_s
        if job.return_s is not None:
            retry_s += job.return_s
        return self._empty(503, job.request_id, retry_s=retry_s)

    def over_quota(self, job: Job, *, retry_s: float) -> Reply:
        """Return the rejection of a request beyond its tenant's quota, which is logged already."""
        self._state.metrics.requests.labels(job.route.name, "429").inc()
        return self._empty(429, job.request_id, retry_s=retry_s)

    def timed_out(self, job: Job) -> Reply:
        """Return the reply to a request whose time is over, or whose gateway exits."""
        job.cause = "no answer within the route's timeout"
        if job.given_up:
            job.cause = "no answer before the stop ended"
            job.refusal_cause = RefusalCause.STOPPING
        if not job.may_have_run and not job.sending:
            return self.not_run(job)
        self.log(job, LogNumber.GATEWAY_REQUEST_FAILED, status=504)
        return self._empty(504, job.request_id)

    def reject(
        self,
        req: ClientRequest,
        request_id: bytes,
        *,
        status: int,
        cause: str,
        retry_s: float | None = None,
    ) -> Reply:
        """Return the reply to a request that is refused before it has a route."""
        now = self._loop.time()
        self._state.metrics.requests.labels("", str(status)).inc()
        self._state.log.write_request(
            LogNumber.GATEWAY_REQUEST_REFUSED,
            now=now,
            request=request_id.decode("latin-1"),
            path=req.path[:100],
            status=status,
            cause=cause,
            config=self._state.routes.config.version if self._state.routes else None,
        )
        return self._empty(status, request_id, retry_s=retry_s)

    def unauthorized(
        self, req: ClientRequest, request_id: bytes, route: Route, *, rejection: KeyRejection
    ) -> Reply:
        """Return the reply to a request whose key identifies no tenant."""
        self._state.metrics.requests.labels(route.name, "401").inc()
        self._state.metrics.rejected_keys.labels(rejection.value).inc()
        self._state.log.write_request(
            LogNumber.GATEWAY_KEY_REJECTED,
            now=self._loop.time(),
            request=request_id.decode("latin-1"),
            route=route.name,
            status=401,
            cause=rejection.value,
            config=self._state.routes.config.version if self._state.routes else None,
        )
        reply = self._empty(401, request_id)
        reply.headers.append((b"www-authenticate", b"Bearer"))
        return reply

    def log(self, job: Job, event: LogNumber, *, status: int) -> None:
        """Count and log the end of a request; a status of 0 stands for a client that left."""
        now = self._loop.time()
        took_s = now - job.req.arrived_at
        outcome = str(status) if status else "cancelled"
        self._state.metrics.requests.labels(job.route.name, outcome).inc()
        self._state.metrics.latency.labels(job.route.name).observe(took_s)
        more: dict[str, Any] = {}
        if job.tenant is not None:
            self._state.metrics.tenant_requests.record(job.tenant.name, status=status)
            more["tenant"] = job.tenant.name
        if job.regions is not None:
            more |= _region_fields(job)
        self._state.log.write_request(
            event,
            now=now,
            request=job.request_id.decode("latin-1"),
            route=job.route.name,
            service=job.service,
            object=job.key,
            upstreams=job.sent_to,
            load=job.load,
            warm=job.warm,
            status=status,
            cause=job.cause,
            took_ms=round(took_s * 1000),
            phase=self._state.phase.value,
            config=self._state.routes.config.version if self._state.routes else None,
            **more,
        )

    def _empty(self, status: int, request_id: bytes, *, retry_s: float | None = None) -> Reply:
        headers: Headers = []
        if request_id:
            headers.append((self._names.request_id, request_id))
        if retry_s is not None:
            headers.append((b"retry-after", b"%.2f" % retry_s))
        return Reply(status=status, headers=headers)


def _region_fields(job: Job) -> dict[str, Any]:
    """Return what a request with homes was placed by, for the log line of its end."""
    return {
        "regions": sorted(job.regions or ()),
        "sent_regions": job.sent_regions,
        "placed_by": job.placed_by,
        "placed_age_ms": round(min(job.config_age_s, MAX_DURATION_S) * 1000),
    }


def _reply(response: HttpResponse) -> Reply:
    """Return an upstream's response as the reply to a client."""
    return Reply(
        status=response.status,
        headers=end_to_end_headers(response.headers),
        body=response.body,
        chunks=response.chunks,
    )
