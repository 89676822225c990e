"""A simulation of nodes, callers and upstreams that records every request an upstream runs."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from functools import partial

import msgspec

from gooseberryport_core import Node, NodeSettings
from gooseberryport_core.config import Config, pools_of, slots_of
from gooseberryport_core.effects import (
    CancelTicket,
    CancelUpstreamAttempt,
    Effect,
    Exit,
    FinishRequest,
    SendBody,
    SendTicket,
    SendTicketReply,
    StartUpstreamAttempt,
)
from gooseberryport_core.events import (
    AttemptEnded,
    BodyArrived,
    Event,
    PeerUnreachable,
    RequestArrived,
    TicketArrived,
    TicketCancelled,
    TicketReplied,
    UpstreamAttemptEnded,
)
from gooseberryport_core.messages import Granted
from gooseberryport_core.types import (
    AttemptOutcome,
    Outcome,
    RequestId,
    ServiceName,
    TicketId,
    UpstreamId,
)
from gooseberryport_standins.simulation import Attempt, SimDaemon, SimStore, Simulation

STREAM_DELAY_S = 0.005
UPSTREAM_DELAY_S = 0.002
CONNECT_TIMEOUT_S = 0.5
KEEPALIVE_TIMEOUT_S = 2.0
MEAN_SERVICE_TIME_S = 0.1


class SimNode(SimDaemon):
    """A simulated daemon that runs a complete `Node` with a clock of its own."""

    def __init__(self, settings: NodeSettings, rng: random.Random, clock: float, drift: float):
        super().__init__(settings, rng, clock, drift)
        self.node = Node(settings=settings, rng=rng)
        self.membership = self.node._membership
        self.ownership = self.node._ownership
        self.config = self.node._config
        self.exited = False

    def handle(self, event: Event, true_time: float) -> list[Effect]:
        """Handle an event at a true time and return the effects."""
        self.now = self.local_time(true_time)
        before = self.config.cfg.version
        effects = self.node.handle(event, self.now)
        if self.config.cfg.version != before:
            self.applied_versions.append(self.config.cfg.version)
        return effects


class Stream(msgspec.Struct):
    """The stream of one attempt from an entry daemon to an owner.

    `inline` is true if the ticket carries the body, `body_sent` once the body was sent.
    """

    ticket_id: TicketId
    request_id: str
    source: SimNode
    target: SimNode
    inline: bool
    body_sent: bool = False
    open: bool = True


class RunningAttempt(msgspec.Struct):
    """One attempt at an upstream; `done` once its owner has received its end."""

    ticket_id: TicketId
    upstream: UpstreamId
    owner: SimNode
    done: bool = False


class CallerRequest(msgspec.Struct, frozen=True):
    """A request as its caller sent it; `key` is its idempotency key or empty."""

    request_id: str
    method: str
    key: str
    sent_at: float


class TrafficSimulation(Simulation):
    """Run complete nodes under callers' requests and check the invariants of serving them.

    Parameters
    ----------
    cfg
        The configuration in the store; the upstreams run with its slots.
    seed, places, publish
        As for `Simulation`.
    upstream_fault_fraction
        Scale of the fault rates: 0.3 times this fraction of attempts are shed or fail to connect,
        0.2 times run until their timeout and 0.2 times break off.
    zone_delay_s, region_delay_s
        One-way delay of streams within a region and between regions; seconds.
    upstream_delay_s
        One-way delay between an owner and its upstreams; seconds.
    """

    def __init__(
        self,
        *,
        cfg: Config,
        seed: int,
        places: dict[str, tuple[str, str]],
        publish: Callable[[SimStore], None],
        upstream_fault_fraction: float = 0.1,
        zone_delay_s: float = STREAM_DELAY_S,
        region_delay_s: float = STREAM_DELAY_S,
        upstream_delay_s: float = UPSTREAM_DELAY_S,
    ) -> None:
        self.upstream_delay_s = upstream_delay_s
        self.zone_delay_s = zone_delay_s
        self.region_delay_s = region_delay_s
        self.lost_zones: set[str] = set()
        self.cfg = cfg
        self.pools_by_upstream = {
            name: pool for pool, names in pools_of(cfg).items() for name in names
        }
        self.upstream_fault_fraction = upstream_fault_fraction
        self.streams: dict[TicketId, Stream] = {}
        self.running_count: Counter[UpstreamId] = Counter()
        self.peak_running: Counter[UpstreamId] = Counter()
        self.running_attempts: dict[TicketId, RunningAttempt] = {}
        self.request_ids: dict[TicketId, str] = {}
        self.callers: dict[str, CallerRequest] = {}
        self.entry_daemons: dict[str, SimNode] = {}
        self.run_counts: Counter[str] = Counter()
        self.finished_requests: dict[str, FinishRequest] = {}
        self.latencies_s: dict[str, float] = {}
        super().__init__(seed=seed, places=places, publish=publish)

    def make_daemon(
        self, settings: NodeSettings, rng: random.Random, clock: float, drift: float
    ) -> SimDaemon:
        """Return a simulated daemon with a complete node."""
        return SimNode(settings, rng, clock, drift)

    def send_request(self, vm: str, service: str, *, method: str = "GET", key: str = "") -> str:
        """Send a caller's request to a VM and return the request id."""
        daemon = self.daemons[vm]
        assert isinstance(daemon, SimNode)
        request_id = f"{vm}.{daemon.settings.incarnation}.r{len(self.callers)}"
        self.callers[request_id] = CallerRequest(request_id, method, key, self.now)
        self.entry_daemons[request_id] = daemon
        client = f"10.{self.rng.randrange(6)}.{self.rng.randrange(200)}.1"
        event = RequestArrived(
            RequestId(request_id), ServiceName(service), client, method, 2.0, key, 100
        )
        self._feed(daemon, event)
        return request_id

    def kill(self, vm: str) -> None:
        """End a daemon at once; its streams break, its attempts at upstreams go on."""
        daemon = self.daemons.get(vm)
        super().kill(vm)
        for stream in [s for s in self.streams.values() if daemon in (s.source, s.target)]:
            self.at(STREAM_DELAY_S, partial(self._break_stream, stream))

    def lose_zone(self, zone: str) -> None:
        """Fail an availability zone: its daemons, its upstreams and the attempts that run there."""
        self.lost_zones.add(zone)
        for vm in [vm for vm, place in self.places.items() if place[0] == zone]:
            self.kill(vm)
        for running in list(self.running_attempts.values()):
            if self.pools_by_upstream[running.upstream].zone == zone:
                self._end_attempt(running.ticket_id, AttemptOutcome.UNKNOWN, 0.0)

    def check_outcomes(self) -> None:
        """Check each outcome that a caller received against the runs at upstreams.

        A request with the outcome not-run has not run, an answered one has run, and a POST request
        runs at most once under one idempotency key.
        """
        for request_id, end in self.finished_requests.items():
            if end.outcome == Outcome.NOT_RUN:
                assert not self.run_counts[request_id], f"{request_id}: ended as not-run but ran"
            if end.outcome == Outcome.ANSWERED:
                assert self.run_counts[request_id], f"{request_id}: answered but did not run"
        runs_by_key: Counter[str] = Counter()
        for request_id, caller in self.callers.items():
            if caller.method == "POST":
                assert self.run_counts[request_id] <= 1, f"{request_id} ran more than once"
                runs_by_key[caller.key or request_id] += self.run_counts[request_id]
        repeated = [key for key, count in runs_by_key.items() if count > 1]
        assert not repeated, f"ran more than once under one idempotency key: {repeated}"

    def _start_random_attempts(self, daemon: SimDaemon) -> None:
        """Start no attempts at random: they follow from callers' requests."""

    def _execute_effect(self, daemon: SimDaemon, effect: Effect) -> None:
        assert isinstance(daemon, SimNode)
        if isinstance(effect, SendTicket):
            self._open_stream(daemon, effect)
        elif isinstance(effect, SendTicketReply):
            self._send_reply(daemon, effect)
        elif isinstance(effect, SendBody):
            self._forward_body(effect)
        elif isinstance(effect, CancelTicket):
            self._cancel_ticket(effect.ticket_id)
        elif isinstance(effect, StartUpstreamAttempt):
            self._start_attempt(daemon, effect)
        elif isinstance(effect, CancelUpstreamAttempt):
            self._end_attempt(effect.ticket_id, AttemptOutcome.UNKNOWN, 0.0)
        elif isinstance(effect, FinishRequest):
            self._finish_request(effect)
        elif isinstance(effect, Exit):
            daemon.exited = True
        else:
            super()._execute_effect(daemon, effect)

    def _open_stream(self, source: SimNode, effect: SendTicket) -> None:
        ticket_id = effect.ticket.ticket_id
        target = self.daemons.get(effect.vm)
        self.request_ids[ticket_id] = effect.request_id
        cut = self._is_cut(source.settings.vm, effect.vm)
        if target is None or cut:
            delay = CONNECT_TIMEOUT_S if cut else STREAM_DELAY_S
            unreachable = PeerUnreachable(effect.vm, ticket_id)
            self.at(delay, lambda: self._feed(source, unreachable))
            return
        assert isinstance(target, SimNode)
        inline = effect.inline_body
        stream = Stream(ticket_id, effect.request_id, source, target, inline, inline)
        self.streams[ticket_id] = stream
        self._send_over_stream(stream, target, TicketArrived(source.settings.vm, effect.ticket))

    def _send_over_stream(self, stream: Stream, receiver: SimNode, event: Event) -> None:
        """Deliver an event over a stream after its delay.

        If the link is cut, the stream breaks after the keepalive timeout instead.
        """

        def deliver() -> None:
            if not stream.open:
                return
            if self._is_cut(stream.source.settings.vm, stream.target.settings.vm):
                self.at(KEEPALIVE_TIMEOUT_S, lambda: self._break_stream(stream))
                return
            self._feed(receiver, event)

        self.at(self._stream_delay_s(stream), deliver)

    def _stream_delay_s(self, stream: Stream) -> float:
        same_region = stream.source.settings.region == stream.target.settings.region
        return self.zone_delay_s if same_region else self.region_delay_s

    def _break_stream(self, stream: Stream) -> None:
        if not stream.open:
            return
        self._close_stream(stream)
        ticket_id = stream.ticket_id
        self._feed(stream.target, TicketCancelled(ticket_id))
        if stream.body_sent:
            self._feed(stream.source, AttemptEnded(ticket_id, AttemptOutcome.UNKNOWN, 0, 0))
        else:
            self._feed(stream.source, PeerUnreachable(stream.target.settings.vm, ticket_id))

    def _close_stream(self, stream: Stream) -> None:
        stream.open = False
        self.streams.pop(stream.ticket_id, None)

    def _send_reply(self, owner: SimNode, effect: SendTicketReply) -> None:
        stream = self.streams.get(effect.reply.ticket_id)
        if stream is None:
            return
        self._send_over_stream(
            stream, stream.source, TicketReplied(owner.settings.vm, effect.reply)
        )
        if isinstance(effect.reply, Granted):
            if stream.inline:
                self._feed(owner, BodyArrived(stream.ticket_id))
            return
        self.at(2 * self._stream_delay_s(stream), lambda: self._close_stream(stream))

    def _forward_body(self, effect: SendBody) -> None:
        stream = self.streams.get(effect.ticket_id)
        if stream is not None and not stream.inline:
            stream.body_sent = True
            self._send_over_stream(stream, stream.target, BodyArrived(effect.ticket_id))

    def _cancel_ticket(self, ticket_id: TicketId) -> None:
        stream = self.streams.get(ticket_id)
        if stream is None:
            return
        target = stream.target
        cut = self._is_cut(stream.source.settings.vm, target.settings.vm)
        self._close_stream(stream)
        delay = KEEPALIVE_TIMEOUT_S if cut else self._stream_delay_s(stream)
        self.at(delay, lambda: self._feed(target, TicketCancelled(ticket_id)))

    def _start_attempt(self, owner: SimNode, effect: StartUpstreamAttempt) -> None:
        """Start an attempt with a random result; the request may not reach the upstream."""
        request_id = effect.request_id or self.request_ids[effect.ticket_id]
        running = RunningAttempt(effect.ticket_id, effect.upstream, owner)
        self.running_attempts[effect.ticket_id] = running
        if self.pools_by_upstream[effect.upstream].zone in self.lost_zones:
            not_sent = AttemptOutcome.NOT_SENT
            self.at(CONNECT_TIMEOUT_S, lambda: self._end_attempt(effect.ticket_id, not_sent, 0.0))
            return
        fault_draw = (
            self.rng.random() / self.upstream_fault_fraction
            if self.upstream_fault_fraction
            else 1.0
        )
        if fault_draw < 0.3:
            unserved = AttemptOutcome.SHED if fault_draw < 0.15 else AttemptOutcome.NOT_SENT
            self.at(
                self.upstream_delay_s, lambda: self._end_attempt(effect.ticket_id, unserved, 0.0)
            )
            return
        timeout = effect.timeout_s / (1.0 + owner.drift)
        service = self.rng.expovariate(1.0 / MEAN_SERVICE_TIME_S)
        duration = 10.0 if fault_draw < 0.5 else service
        outcome = AttemptOutcome.UNKNOWN if fault_draw < 0.7 else AttemptOutcome.ANSWERED
        self.at(
            self.upstream_delay_s,
            lambda: self._run_at_upstream(running, request_id, timeout, duration),
        )
        end = duration + 2 * self.upstream_delay_s
        if duration >= timeout:
            outcome, duration, end = AttemptOutcome.UNKNOWN, timeout, timeout
        self.at(end, lambda: self._end_attempt(effect.ticket_id, outcome, duration))

    def _run_at_upstream(
        self, running: RunningAttempt, request_id: str, timeout: float, duration: float
    ) -> None:
        """Run a request at its upstream until it ends, times out or is cancelled.

        Raises AssertionError if the upstream then runs more requests than it has slots.
        """
        if running.done:
            return
        upstream = running.upstream
        self.run_counts[request_id] += 1
        self.running_count[upstream] += 1
        self.peak_running[upstream] = max(self.peak_running[upstream], self.running_count[upstream])
        slots = slots_of(self.cfg, upstream)
        assert (
            self.running_count[upstream] <= slots
        ), f"{upstream} runs {self.running_count[upstream]} on {slots} slots at {self.now:.3f} s"
        owner = running.owner.settings
        ends_at = self.now + min(timeout, duration)
        pool = self.pools_by_upstream[upstream]
        self.attempts.append(Attempt(pool, owner.vm, owner.incarnation, ends_at))
        self._free_slot_at_end(running, ends_at)

    def _free_slot_at_end(self, running: RunningAttempt, ends_at: float) -> None:
        if self.now >= ends_at or (running.done and self._owner_is_running(running)):
            self.running_count[running.upstream] -= 1
            return
        wait = min(0.01, ends_at - self.now)
        self.at(wait, lambda: self._free_slot_at_end(running, ends_at))

    def _owner_is_running(self, running: RunningAttempt) -> bool:
        return self.daemons.get(running.owner.settings.vm) is running.owner

    def _end_attempt(self, ticket_id: TicketId, outcome: AttemptOutcome, duration: float) -> None:
        """Report the end of an attempt to its owner, and over the stream to the entry daemon."""
        running = self.running_attempts.pop(ticket_id, None)
        if running is None or running.done:
            return
        running.done = True
        answered = outcome == AttemptOutcome.ANSWERED
        status, size = (200, 500) if answered else (0, 0)
        connected = outcome != AttemptOutcome.NOT_SENT
        self._feed(
            running.owner,
            UpstreamAttemptEnded(ticket_id, outcome, status, size, duration, connected),
        )
        stream = self.streams.get(ticket_id)
        if stream is not None and self._owner_is_running(running):
            self._send_over_stream(
                stream, stream.source, AttemptEnded(ticket_id, outcome, status, size)
            )
            self.at(2 * self._stream_delay_s(stream), lambda: self._close_stream(stream))

    def _finish_request(self, effect: FinishRequest) -> None:
        assert (
            effect.request_id not in self.finished_requests
        ), f"{effect.request_id} was finished twice"
        self.finished_requests[effect.request_id] = effect
        self.latencies_s[effect.request_id] = self.now - self.callers[effect.request_id].sent_at
        if effect.outcome == Outcome.NOT_RUN:
            assert not self.run_counts[
                effect.request_id
            ], f"{effect.request_id}: ended as not-run but ran"
