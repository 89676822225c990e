"""Whole nodes, callers and upstreams in one simulated fleet, with an exact memory of what ran."""

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
KEEPALIVE_S = 2.0
MEAN_SERVICE_TIME_S = 0.1


class SimNode(SimDaemon):
    """One daemon with every decision of a `Node`, and a clock of its own."""

    def __init__(self, settings: NodeSettings, rng: random.Random, clock: float, drift: float):
        super().__init__(settings, rng, clock, drift)
        self.node = Node(settings=settings, rng=rng)
        self.membership = self.node._membership
        self.ownership = self.node._ownership
        self.config = self.node._config
        self.exited = False

    def handle(self, event: Event, true_time: float) -> list[Effect]:
        """Handle an event at a true time."""
        self.now = self.local_time(true_time)
        before = self.config.cfg.version
        effects = self.node.handle(event, self.now)
        if self.config.cfg.version != before:
            self.applied_versions.append(self.config.cfg.version)
        return effects


class Stream(msgspec.Struct):
    """One attempt's stream from an entry daemon to an owner."""

    ticket_id: TicketId
    request_id: str
    source: SimNode
    target: SimNode
    inline: bool
    body_left: bool = False
    open: bool = True


class Running(msgspec.Struct):
    """One attempt at an upstream, in true time."""

    ticket_id: TicketId
    upstream: UpstreamId
    owner: SimNode
    done: bool = False


class Caller(msgspec.Struct, frozen=True):
    """One caller's request as it was sent."""

    request_id: str
    method: str
    key: str
    sent_at: float


class TrafficSimulation(Simulation):
    """Run whole nodes under callers' requests, and check what must always hold.

    Parameters
    ----------
    cfg
        The configuration in the store.
    seed, places, publish
        As for `Simulation`.
    upstream_fault_fraction
        Share of attempts that shed, break off or run longer than their deadline.
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
        self.pool_of = {name: pool for pool, names in pools_of(cfg).items() for name in names}
        self.upstream_fault_fraction = upstream_fault_fraction
        self.streams: dict[TicketId, Stream] = {}
        self.running_at: Counter[UpstreamId] = Counter()
        self.peak_running: Counter[UpstreamId] = Counter()
        self.attempts_now: dict[TicketId, Running] = {}
        self.request_of: dict[TicketId, str] = {}
        self.callers: dict[str, Caller] = {}
        self.entry_daemons: dict[str, SimNode] = {}
        self.run_counts: Counter[str] = Counter()
        self.finished_requests: dict[str, FinishRequest] = {}
        self.latencies_s: dict[str, float] = {}
        super().__init__(seed=seed, places=places, publish=publish)

    def make_daemon(
        self, settings: NodeSettings, rng: random.Random, clock: float, drift: float
    ) -> SimDaemon:
        """Return a whole node."""
        return SimNode(settings, rng, clock, drift)

    def send_request(self, vm: str, service: str, *, method: str = "GET", key: str = "") -> str:
        """Let a caller send a request to a VM; returns its id."""
        daemon = self.daemons[vm]
        assert isinstance(daemon, SimNode)
        request_id = f"{vm}.{daemon.settings.incarnation}.r{len(self.callers)}"
        self.callers[request_id] = Caller(request_id, method, key, self.now)
        self.entry_daemons[request_id] = daemon
        client = f"10.{self.rng.randrange(6)}.{self.rng.randrange(200)}.1"
        event = RequestArrived(
            RequestId(request_id), ServiceName(service), client, method, 2.0, key, 100
        )
        self._feed(daemon, event)
        return request_id

    def kill(self, vm: str) -> None:
        """End a daemon at once; its streams break, its work at upstreams goes on."""
        daemon = self.daemons.get(vm)
        super().kill(vm)
        for stream in [s for s in self.streams.values() if daemon in (s.source, s.target)]:
            self.at(STREAM_DELAY_S, partial(self._break, stream))

    def lose_zone(self, zone: str) -> None:
        """Lose an availability zone: its daemons, its upstreams and what they run."""
        self.lost_zones.add(zone)
        for vm in [vm for vm, place in self.places.items() if place[0] == zone]:
            self.kill(vm)
        for running in list(self.attempts_now.values()):
            if self.pool_of[running.upstream].zone == zone:
                self._end_attempt(running.ticket_id, AttemptOutcome.UNKNOWN, 0.0)

    def check_outcomes(self) -> None:
        """Check what callers were told against what ran."""
        for request_id, end in self.finished_requests.items():
            if end.outcome == Outcome.NOT_RUN:
                assert not self.run_counts[request_id], f"{request_id}: not-run is false"
            if end.outcome == Outcome.ANSWERED:
                assert self.run_counts[request_id], f"{request_id}: answered without a run"
        runs_of_key: Counter[str] = Counter()
        for request_id, caller in self.callers.items():
            if caller.method == "POST":
                assert self.run_counts[request_id] <= 1, f"{request_id} ran twice"
                runs_of_key[caller.key or request_id] += self.run_counts[request_id]
        doubled = [key for key, count in runs_of_key.items() if count > 1]
        assert not doubled, f"ran twice under one key: {doubled}"

    def _start_random_attempts(self, daemon: SimDaemon) -> None:
        """Start no work of its own: callers do."""

    def _execute_effect(self, daemon: SimDaemon, effect: Effect) -> None:
        assert isinstance(daemon, SimNode)
        if isinstance(effect, SendTicket):
            self._open(daemon, effect)
        elif isinstance(effect, SendTicketReply):
            self._reply(daemon, effect)
        elif isinstance(effect, SendBody):
            self._send_body(effect)
        elif isinstance(effect, CancelTicket):
            self._cancel(effect.ticket_id)
        elif isinstance(effect, StartUpstreamAttempt):
            self._start(daemon, effect)
        elif isinstance(effect, CancelUpstreamAttempt):
            self._end_attempt(effect.ticket_id, AttemptOutcome.UNKNOWN, 0.0)
        elif isinstance(effect, FinishRequest):
            self._finish(effect)
        elif isinstance(effect, Exit):
            daemon.exited = True
        else:
            super()._execute_effect(daemon, effect)

    def _open(self, source: SimNode, effect: SendTicket) -> None:
        ticket_id = effect.ticket.ticket_id
        target = self.daemons.get(effect.vm)
        self.request_of[ticket_id] = effect.request_id
        cut = self._is_cut(source.settings.vm, effect.vm)
        if target is None or cut:
            delay = CONNECT_TIMEOUT_S if cut else STREAM_DELAY_S
            lost = PeerUnreachable(effect.vm, ticket_id)
            self.at(delay, lambda: self._feed(source, lost))
            return
        assert isinstance(target, SimNode)
        inline = effect.inline_body
        stream = Stream(ticket_id, effect.request_id, source, target, inline, inline)
        self.streams[ticket_id] = stream
        self._pass_on(stream, target, TicketArrived(source.settings.vm, effect.ticket))

    def _pass_on(self, stream: Stream, receiver: SimNode, event: Event) -> None:
        """Carry an event along a stream; a cut breaks the stream once its keepalive fails."""

        def arrive() -> None:
            if not stream.open:
                return
            if self._is_cut(stream.source.settings.vm, stream.target.settings.vm):
                self.at(KEEPALIVE_S, lambda: self._break(stream))
                return
            self._feed(receiver, event)

        self.at(self._stream_delay_s(stream), arrive)

    def _stream_delay_s(self, stream: Stream) -> float:
        same = stream.source.settings.region == stream.target.settings.region
        return self.zone_delay_s if same else self.region_delay_s

    def _break(self, stream: Stream) -> None:
        if not stream.open:
            return
        self._close(stream)
        ticket_id = stream.ticket_id
        self._feed(stream.target, TicketCancelled(ticket_id))
        if stream.body_left:
            self._feed(stream.source, AttemptEnded(ticket_id, AttemptOutcome.UNKNOWN, 0, 0))
        else:
            self._feed(stream.source, PeerUnreachable(stream.target.settings.vm, ticket_id))

    def _close(self, stream: Stream) -> None:
        stream.open = False
        self.streams.pop(stream.ticket_id, None)

    def _reply(self, owner: SimNode, effect: SendTicketReply) -> None:
        stream = self.streams.get(effect.reply.ticket_id)
        if stream is None:
            return
        self._pass_on(stream, stream.source, TicketReplied(owner.settings.vm, effect.reply))
        if isinstance(effect.reply, Granted):
            if stream.inline:
                self._feed(owner, BodyArrived(stream.ticket_id))
            return
        self.at(2 * self._stream_delay_s(stream), lambda: self._close(stream))

    def _send_body(self, effect: SendBody) -> None:
        stream = self.streams.get(effect.ticket_id)
        if stream is not None and not stream.inline:
            stream.body_left = True
            self._pass_on(stream, stream.target, BodyArrived(effect.ticket_id))

    def _cancel(self, ticket_id: TicketId) -> None:
        stream = self.streams.get(ticket_id)
        if stream is None:
            return
        target = stream.target
        cut = self._is_cut(stream.source.settings.vm, target.settings.vm)
        self._close(stream)
        delay = KEEPALIVE_S if cut else self._stream_delay_s(stream)
        self.at(delay, lambda: self._feed(target, TicketCancelled(ticket_id)))

    def _start(self, owner: SimNode, effect: StartUpstreamAttempt) -> None:
        """Begin an attempt: the request reaches the upstream after a delay, or never."""
        request_id = effect.request_id or self.request_of[effect.ticket_id]
        running = Running(effect.ticket_id, effect.upstream, owner)
        self.attempts_now[effect.ticket_id] = running
        if self.pool_of[effect.upstream].zone in self.lost_zones:
            lost = AttemptOutcome.NOT_SENT
            self.at(CONNECT_TIMEOUT_S, lambda: self._end_attempt(effect.ticket_id, lost, 0.0))
            return
        fate = (
            self.rng.random() / self.upstream_fault_fraction
            if self.upstream_fault_fraction
            else 1.0
        )
        if fate < 0.3:
            shed = AttemptOutcome.SHED if fate < 0.15 else AttemptOutcome.NOT_SENT
            self.at(self.upstream_delay_s, lambda: self._end_attempt(effect.ticket_id, shed, 0.0))
            return
        timeout = effect.timeout_s / (1.0 + owner.drift)
        service = self.rng.expovariate(1.0 / MEAN_SERVICE_TIME_S)
        duration = 10.0 if fate < 0.5 else service
        outcome = AttemptOutcome.UNKNOWN if fate < 0.7 else AttemptOutcome.ANSWERED
        self.at(self.upstream_delay_s, lambda: self._arrive(running, request_id, timeout, duration))
        end = duration + 2 * self.upstream_delay_s
        if duration >= timeout:
            outcome, duration, end = AttemptOutcome.UNKNOWN, timeout, timeout
        self.at(end, lambda: self._end_attempt(effect.ticket_id, outcome, duration))

    def _arrive(self, running: Running, request_id: str, timeout: float, duration: float) -> None:
        """Run a request at its upstream until it is done, its deadline ends or it is cancelled."""
        if running.done:
            return
        upstream = running.upstream
        self.run_counts[request_id] += 1
        self.running_at[upstream] += 1
        self.peak_running[upstream] = max(self.peak_running[upstream], self.running_at[upstream])
        slots = slots_of(self.cfg, upstream)
        assert (
            self.running_at[upstream] <= slots
        ), f"{upstream} runs {self.running_at[upstream]} of {slots} at {self.now:.3f} s"
        me = running.owner.settings
        ends_at = self.now + min(timeout, duration)
        pool = self.pool_of[upstream]
        self.attempts.append(Attempt(pool, me.vm, me.incarnation, ends_at))
        self._leave_upstream(running, ends_at)

    def _leave_upstream(self, running: Running, ends_at: float) -> None:
        if self.now >= ends_at or (running.done and self._owner_lives(running)):
            self.running_at[running.upstream] -= 1
            return
        wait = min(0.01, ends_at - self.now)
        self.at(wait, lambda: self._leave_upstream(running, ends_at))

    def _owner_lives(self, running: Running) -> bool:
        return self.daemons.get(running.owner.settings.vm) is running.owner

    def _end_attempt(self, ticket_id: TicketId, outcome: AttemptOutcome, duration: float) -> None:
        """Tell the owner of an attempt's end, and the entry along the stream."""
        running = self.attempts_now.pop(ticket_id, None)
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
        if stream is not None and self._owner_lives(running):
            self._pass_on(stream, stream.source, AttemptEnded(ticket_id, outcome, status, size))
            self.at(2 * self._stream_delay_s(stream), lambda: self._close(stream))

    def _finish(self, effect: FinishRequest) -> None:
        assert effect.request_id not in self.finished_requests, f"{effect.request_id} ends twice"
        self.finished_requests[effect.request_id] = effect
        self.latencies_s[effect.request_id] = self.now - self.callers[effect.request_id].sent_at
        if effect.outcome == Outcome.NOT_RUN:
            assert not self.run_counts[effect.request_id], f"{effect.request_id}: not-run is false"
