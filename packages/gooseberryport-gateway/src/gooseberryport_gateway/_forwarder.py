"""Forward a client's request to an upstream and return its response."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from gooseberryport_core.decoding import parse_count
from gooseberryport_core.gateway.announcements import NOTHING_ANNOUNCED, Announcement, Gate
from gooseberryport_core.gateway.model import Address, Repeatability, Route, Tenant
from gooseberryport_core.gateway.refusals import RefusalCause, retry_after
from gooseberryport_core.gateway.region_limits import allowed_regions
from gooseberryport_core.gateway.stopping import ANSWER_MARGIN_S
from gooseberryport_core.gateway.upstreams import Upstream
from gooseberryport_core.gateway.verdicts import MISDIRECTED_STATUS
from gooseberryport_core.log_events import LogNumber
from gooseberryport_gateway._attempts import (
    Attempt,
    AttemptEnd,
    Job,
    classify,
    reported_load,
)
from gooseberryport_gateway._client_keys import ClientKeys
from gooseberryport_gateway._client_messages import ClientRequest, Reply
from gooseberryport_gateway._headers import object_key
from gooseberryport_gateway._http_conn import HttpConn
from gooseberryport_gateway._http_response import HttpResponse
from gooseberryport_gateway._levels import PriorityAdmission
from gooseberryport_gateway._placing import Placer
from gooseberryport_gateway._pool import ConnPool
from gooseberryport_gateway._replies import Replies
from gooseberryport_gateway._request_encoding import RequestEncoder
from gooseberryport_gateway._silence import SilenceDetector
from gooseberryport_gateway._state import GatewayState
from gooseberryport_gateway._warm_objects import identify
from gooseberryport_gateway.errors import NotSentError, ResponseLimitError, ResponseLostError
from gooseberryport_gateway.wire import HeaderNames

NOT_READY_RETRY_DELAY_S = 0.5
"""Delay after which clients retry at a gateway that has no configuration yet; seconds."""

MAX_SENDS = 4
"""Sends of one request, including those that upstreams refused to run."""

STALE_RESET_WINDOW_S = 0.1
"""Time after a send within which a reset shows that the idle connection was stale: longer than a
round trip between regions, and far shorter than a request takes to run; seconds."""

MIN_TIME_LEFT_S = 0.02
"""Time left until the deadline below which a request is not sent; seconds."""


class Forwarder:
    """Serve clients' requests.

    Parameters
    ----------
    state
        State of the gateway, on which decisions are based.
    pool
        Connections to upstreams.
    names
        Header fields of clients and upstreams.
    announcement
        Decodes what a response says about its upstream.
    """

    def __init__(
        self,
        *,
        state: GatewayState,
        pool: ConnPool,
        names: HeaderNames,
        announcement: Callable[[HttpResponse], Announcement] = lambda _: NOTHING_ANNOUNCED,
    ) -> None:
        self._state = state
        self._pool = pool
        self._names = names
        self._announcement = announcement
        self._replies = Replies(state=state, names=names)
        self._keys = ClientKeys(state=state, names=names, replies=self._replies)
        self._encoder = RequestEncoder(names)
        self._silence = SilenceDetector(state=state, pool=pool)
        self._admission = PriorityAdmission(state=state)
        self._placer = Placer(state=state, admission=self._admission)
        self._loop = asyncio.get_running_loop()
        self._jobs: set[Job] = set()

    async def handle(self, req: ClientRequest) -> Reply:
        """Forward a request and return the reply to the client."""
        request_id = req.header(self._names.request_id) or b""
        if not self._state.accepting:
            return self._replies.reject(
                req,
                request_id,
                status=503,
                cause="stopping",
                retry_s=retry_after(reason=RefusalCause.STOPPING, draw=0.0),
            )
        routes = self._state.routes
        if routes is None:
            return self._replies.reject(
                req,
                request_id,
                status=503,
                cause="no configuration yet",
                retry_s=NOT_READY_RETRY_DELAY_S,
            )
        host = (req.header(b"host") or b"").decode("latin-1")
        route = routes.find(host=host, path=req.path)
        if route is None:
            return self._replies.reject(req, request_id, status=404, cause="no route")
        tenant = self._keys.identify(req, request_id, route)
        if isinstance(tenant, Reply):
            return tenant
        job = self._job(req, request_id, route, tenant)
        job.config_number, job.placed_by = self._state.num_configs, routes.config.version
        job.regions = allowed_regions(route, tenant)
        identify(job, routes)
        # A request that waits long must not keep a large configuration in memory.
        del routes
        self._state.record_client_request(now=req.arrived_at)
        if (rejection := self._admit(job)) is not None:
            return rejection
        self._state.retries.record_request(service=job.service, now=req.arrived_at)
        self._state.metrics.in_flight.inc()
        self._jobs.add(job)
        try:
            async with asyncio.timeout_at(job.deadline) as job.timeout:
                return await self._serve(job)
        except TimeoutError:
            return self._late_reply(job) or self._replies.timed_out(job)
        except asyncio.CancelledError as exc:
            job.cause = str(exc.args[0]) if exc.args else ""
            self._replies.log(job, LogNumber.GATEWAY_REQUEST_CANCELLED, status=0)
            raise
        finally:
            self._jobs.discard(job)
            self._state.quotas.settle(job)
            self._state.metrics.in_flight.dec()

    def _late_reply(self, job: Job) -> Reply | None:
        """Return the reply by a response that came as the time ended, or None if there is none.

        After a pause of the process, both are found at once, and the response may have come long
        before.
        """
        if job.late_response is None:
            return None
        attempt = classify(job.late_response, names=self._names)
        if attempt.end is AttemptEnd.LOST:
            return None
        job.sending = False
        job.may_have_run = job.may_have_run or attempt.may_have_run
        if attempt.end is AttemptEnd.ANSWERED:
            return self._replies.pass_on(job, job.late_response)
        job.cause = f"{attempt.end.value}: {attempt.reason}; no time left"
        if attempt.end is AttemptEnd.FAILED:
            job.last_failure = attempt.response
        return self._replies.failed(job)

    def give_up(self) -> int:
        """Give every open request its final reply now; return their number."""
        for job in self._jobs:
            job.given_up = True
            if job.timeout is not None and not job.timeout.expired():
                job.timeout.reschedule(self._loop.time())
        return len(self._jobs)

    def _admit(self, job: Job) -> Reply | None:
        """Return the reply to a request that is not to be placed, or None."""
        if job.has_no_region:
            job.cause = "route and tenant allow no region in common"
            return self._replies.not_run(job)
        retry_s = self._state.quotas.admit(job)
        return None if retry_s is None else self._replies.over_quota(job, retry_s=retry_s)

    def _job(
        self, req: ClientRequest, request_id: bytes, route: Route, tenant: Tenant | None
    ) -> Job:
        key = (
            object_key(req.headers, cookie=self._names.object_cookie)
            if route.object_affinity
            else None
        )
        part = self._state.splits.choose(route=route, key=key, draw=self._state.rng.random())
        wait_s = route.timeout_s
        deadline_ms = parse_count(req.header(self._names.deadline_ms) or b"")
        if deadline_ms is not None:
            wait_s = min(wait_s, deadline_ms / 1000.0)
        return Job(
            req=req,
            request_id=request_id,
            route=route,
            service=part.service,
            key=key,
            deadline=req.arrived_at + wait_s,
            tenant=tenant,
            key_checked=self._state.tenants.requires_keys,
        )

    async def _serve(self, job: Job) -> Reply:
        while True:
            now = self._loop.time()
            self._follow_config(job)
            upstream = self._placer.choose(job, now=now)
            if upstream is None:
                return self._replies.failed(job)
            job.sent_to.append(upstream.id)
            job.sent_regions.append(self._state.region_of(upstream.entry.zone))
            attempt = await self._attempt(job, upstream)
            self._record_attempt(job, upstream, attempt, sent_at=now)
            if attempt.end is AttemptEnd.ANSWERED:
                assert attempt.response is not None
                return self._replies.pass_on(job, attempt.response)
            if attempt.response is not None and attempt.end is AttemptEnd.FAILED:
                job.last_failure = attempt.response
            if job.req.held is not None:
                kept = job.last_failure.body_bytes if job.last_failure is not None else 0
                job.req.held.settle(num_bytes=kept)
            at_most_once = job.route.repeatability is Repeatability.AT_MOST_ONCE
            if at_most_once and job.may_have_run:
                job.cause = f"{attempt.end.value}: {attempt.reason}; may have run"
                return self._replies.failed(job)
            if not self._may_retry(job, attempt):
                return self._replies.failed(job)
            if attempt.paused:
                self._state.metrics.placed_anew.labels(Gate.PAUSED.value).inc()

    def _may_retry(self, job: Job, attempt: Attempt) -> bool:
        now = self._loop.time()
        sends = len(job.sent_to)
        # An upstream that pauses, or that got nothing, has not run the request: it was no attempt.
        is_refusal = attempt.paused and attempt.end is AttemptEnd.SHED
        attempts_used = (
            not (is_refusal or attempt.undone) and len(set(job.sent_to)) >= job.route.max_attempts
        )
        if sends >= MAX_SENDS or (attempts_used and job.sent_to[-1] in job.avoided):
            job.cause = f"{attempt.end.value}: {attempt.reason}; no attempts left"
            return False
        if job.deadline - now < MIN_TIME_LEFT_S:
            job.cause = f"{attempt.end.value}: {attempt.reason}; no time left"
            return False
        if attempt.end is AttemptEnd.NOT_SENT:
            return True
        gateways = len(self._state.fleet.gateways_sharing_limits(now=now))
        urgent = self._admission.level(job).index == 0
        if not self._state.retries.take(
            service=job.service, gateways=gateways, now=now, urgent=urgent
        ):
            if attempt.end is AttemptEnd.SHED and job.sent_to[-1] not in job.avoided:
                job.refusal_cause = RefusalCause.TURNED_AWAY
            job.cause = f"{attempt.end.value}: {attempt.reason}; retry budget used up"
            return False
        return True

    def _follow_config(self, job: Job) -> None:
        """Apply the homes in force to a request that was placed by an earlier configuration.

        If its route or its key is gone since, the last known homes of it bind.
        """
        state = self._state
        job.config_age_s = state.config_age_s()
        if state.routes is None or state.num_configs == job.config_number:
            return
        job.config_number, job.placed_by = state.num_configs, state.routes.config.version
        host = (job.req.header(b"host") or b"").decode("latin-1")
        route = state.routes.find(host=host, path=job.req.path)
        tenant = self._keys.find_tenant(job.req)
        job.regions = allowed_regions(route or job.route, tenant or job.tenant)

    def _find_change(self, job: Job, upstream: Upstream, address: Address) -> str | None:
        """Return why a request must not be sent where it was placed before a wait, or None."""
        gate = self._state.statements.gate(upstream)
        if gate in (Gate.LEAVING, Gate.PAUSED):
            return str(gate.value)
        if not self._state.upstreams.is_eligible(upstream) or upstream.entry.address != address:
            return "gone"
        self._follow_config(job)
        region = self._state.region_of(upstream.entry.zone)
        return None if job.is_allowed_in(region) else "outside its regions"

    async def _attempt(self, job: Job, upstream: Upstream) -> Attempt:
        upstream.in_flight += 1
        try:
            max_idle_s = self._state.idle_limits.max_idle_s(
                service=job.service, upstream=upstream.id, now=self._loop.time()
            )
            address = upstream.entry.address
            conn = self._pool.acquire(
                upstream.id, address, max_idle_s=max_idle_s, excluded=job.conns
            )
            if conn is None:
                conn = await self._pool.connect(upstream.id, address)
                self._state.metrics.connections.inc()
                change = self._find_change(job, upstream, address)
                if change is not None:
                    # It changed while the connection was opened.
                    self._pool.release(upstream.id, conn)
                    self._state.metrics.placed_anew.labels(change).inc()
                    reason = f"the upstream is {change}"
                    return Attempt(end=AttemptEnd.NOT_SENT, reason=reason, undone=True)
            return await self._send(job, upstream, conn)
        except NotSentError as exc:
            self._state.record_unreachable(upstream, reason=str(exc), now=self._loop.time())
            return Attempt(end=AttemptEnd.NOT_SENT, reason=str(exc))
        except ResponseLimitError as exc:
            # Each further attempt would cost as much; a probe must succeed first.
            self._state.record_unreachable(upstream, reason=exc.reason, now=self._loop.time())
            return Attempt(end=AttemptEnd.LOST, reason=exc.reason, cause=exc.cause)
        except ResponseLostError as exc:
            return Attempt(end=AttemptEnd.LOST, reason=exc.reason, cause=exc.cause)
        finally:
            upstream.in_flight -= 1

    async def _send(self, job: Job, upstream: Upstream, conn: HttpConn) -> Attempt:
        now = self._loop.time()
        started_ms = upstream.entry.started_ms
        if self._state.warm_objects.record_send(job, upstream.id, now=now):
            self._state.on_warmth_update()
        job.sending = True
        job.conns.append(conn)
        expected_s = self._state.warm_s(job.route) if job.warm else None
        with self._silence.watching(upstream, conn, expected_s=expected_s):
            try:
                response = await conn.request(
                    self._encode(job, upstream, now=now),
                    body=job.req.body,
                    request_id=job.request_id or None,
                    head_only=job.req.method == b"HEAD",
                    held=job.req.held,
                )
            except asyncio.CancelledError:
                if conn.unclaimed is not None:
                    job.late_response = conn.unclaimed
                    self._pool.release(upstream.id, conn)
                raise
            except ResponseLostError as exc:
                after_s = self._loop.time() - now
                if not conn.idle_s or conn.has_response_bytes or after_s > STALE_RESET_WINDOW_S:
                    raise
                return self._record_stale_reset(job, upstream, conn, exc)
        job.sending = False
        self._pool.release(upstream.id, conn)
        load = reported_load(response, names=self._names)
        if load is not None:
            upstream.record_load(load.running + load.waiting, now=self._loop.time())
        if response.status != MISDIRECTED_STATUS:
            self._record_rate_limit(job, upstream, response)
        attempt = classify(response, names=self._names)
        if response.status != MISDIRECTED_STATUS:
            self._state.balancing.record_response(
                upstream,
                load,
                started_ms=started_ms,
                ran=attempt.end is AttemptEnd.ANSWERED,
                now=self._loop.time(),
            )
        attempt.paused = self._state.statements.record_announcement(
            upstream,
            self._announcement(response),
            started_ms=started_ms,
            request=job.request_id.decode("latin-1"),
            now=self._loop.time(),
        )
        if self._state.statements.gate(upstream) is Gate.LEAVING:
            self._pool.drop(upstream.id)
        return attempt

    def _record_rate_limit(self, job: Job, upstream: Upstream, response: HttpResponse) -> None:
        value = response.header(self._names.rate_limit)
        per_s: float | None = None
        if value is None and response.header(self._names.signature) is None:
            # A refusal or a faulty response does not show that the limit has ended.
            return
        if value is not None:
            try:
                per_s = float(value)
            except ValueError:
                return
            if not math.isfinite(per_s) or per_s < 0.0:
                return
        self._state.statements.record_rate_limit(
            upstream.id,
            per_s=per_s,
            request=job.request_id.decode("latin-1"),
            now=self._loop.time(),
        )

    def _record_stale_reset(
        self, job: Job, upstream: Upstream, conn: HttpConn, exc: ResponseLostError
    ) -> Attempt:
        self._state.idle_limits.record_reset(
            service=job.service,
            upstream=upstream.id,
            idle_s=conn.idle_s,
            now=self._loop.time(),
        )
        reason = f"{exc.reason} after the connection was idle for {conn.idle_s:.3f} s"
        return Attempt(end=AttemptEnd.STALE_CONNECTION, reason=reason, cause=exc.cause)

    def _record_attempt(
        self, job: Job, upstream: Upstream, attempt: Attempt, *, sent_at: float
    ) -> None:
        job.sending = False
        job.may_have_run = job.may_have_run or attempt.may_have_run
        self._state.metrics.attempts.labels(job.service, attempt.end.value).inc()
        if attempt.cause is not None:
            phase = self._state.phase.value
            self._state.metrics.lost_responses.labels(attempt.cause.value, phase).inc()
        now = self._loop.time()
        if self._must_avoid(attempt, upstream, job):
            job.avoided.add(upstream.id)
        if attempt.was_received:
            # An upstream may cut off a response that is not read, which is no fault of its own.
            cut = attempt.end is AttemptEnd.LOST and job.conns[-1].paused_s
            if not attempt.paused and not cut:
                upstream.record_answer(good=attempt.end is AttemptEnd.ANSWERED)
        else:
            self._state.warm_objects.record_not_run(job, upstream.id)
        if attempt.end is AttemptEnd.ANSWERED:
            if job.load < upstream.entry.slots:
                took_s = now - sent_at - job.conns[-1].paused_s
                self._state.work_times.record(job.route, took_s)
                if self._state.warm_objects.record_duration(
                    job, upstream.id, took_s=took_s, now=now
                ):
                    self._state.record_warm_duration(job.route, took_s)
            return
        if attempt.end is AttemptEnd.MISDIRECTED:
            self._state.record_unreachable(upstream, reason=attempt.reason, now=now)
        self._state.log.write_request(
            LogNumber.GATEWAY_ATTEMPT_FAILED,
            now=now,
            request=job.request_id.decode("latin-1"),
            upstream=upstream.id,
            end=attempt.end.value,
            reason=attempt.reason,
            after_ms=round((now - sent_at) * 1000),
            phase=self._state.phase.value,
            load=job.load,
            left_ms=round((job.deadline - now) * 1000),
        )

    def _must_avoid(self, attempt: Attempt, upstream: Upstream, job: Job) -> bool:
        """Return whether the request must not be sent to the same upstream again."""
        if attempt.end is AttemptEnd.SHED and not attempt.paused:
            return self._is_full(attempt, upstream, job)
        return attempt.end is not AttemptEnd.STALE_CONNECTION

    def _is_full(self, attempt: Attempt, upstream: Upstream, job: Job) -> bool:
        """Return whether an upstream refused a request because it is full, and not at random.

        An upstream that refuses at random is tried again, since the object is warm there.
        """
        load = (
            reported_load(attempt.response, names=self._names)
            if attempt.response is not None
            else None
        )
        if load is not None:
            return load.running >= upstream.entry.slots
        return job.load >= upstream.entry.slots

    def _encode(self, job: Job, upstream: Upstream, *, now: float) -> bytes:
        """Return the head of the request to an upstream."""
        # An upstream that has not begun the request by then says that it did not run it.
        deadline = min(job.deadline, self._state.exits_at - ANSWER_MARGIN_S)
        left_ms = max(int((deadline - now) * 1000), 1)
        return self._encoder.encode(
            job, upstream, left_ms=left_ms, requires_keys=self._state.tenants.requires_keys
        )
