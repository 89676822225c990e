"""A simulation of several daemons' control decisions with simulated clocks, network and store.

Used by tests and soaks of ownership, membership and configuration. It runs in one process without
sockets or threads, and one seed determines every random choice.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterable

import msgspec

from gooseberryport_core._config_sync import ConfigSync
from gooseberryport_core._membership import Membership
from gooseberryport_core._ownership import Ownership
from gooseberryport_core._views import HeartbeatFacts
from gooseberryport_core.config import Config
from gooseberryport_core.config_store import (
    HEAD_KEY,
    Draft,
    decode_head,
    encode_head,
    plan_publication,
)
from gooseberryport_core.effects import (
    ConfigChanged,
    Effect,
    LogEvent,
    SendMessage,
    StoreGet,
    StoreSwap,
    StoreWatch,
)
from gooseberryport_core.events import (
    Event,
    ListedVm,
    MessageArrived,
    StopRequested,
    StoreFailed,
    StoreGot,
    StoreValue,
    StoreWritten,
    Tick,
    VmListArrived,
)
from gooseberryport_core.messages import MAX_DATAGRAM_BYTES, decode_message, encode_message
from gooseberryport_core.settings import NodeSettings, Timing
from gooseberryport_core.types import (
    ConfigVersion,
    Incarnation,
    PoolId,
    RegionName,
    Revision,
    VmId,
    VmState,
    ZoneName,
)

TICK_S = 0.05
DATAGRAM_HEADER_BYTES = 28
STORE = "store"
LOST, LATE, APPLIED = "lost", "late", "applied"


class SimStore:
    """A simulated key-value store with revisions and compare-and-swap that counts its calls."""

    def __init__(self) -> None:
        self.values: dict[str, tuple[bytes, int]] = {}
        self.available = True
        self.calls = 0
        self._revision = 0

    def read(self, key: str) -> StoreValue:
        """Return the current value and revision of a key."""
        value, revision = self.values.get(key, (b"", 0))
        return StoreValue(key, value, Revision(revision))

    def swap(self, key: str, value: bytes, expected: int) -> bool:
        """Write a key if it is at the expected revision; return whether it was written."""
        if self.read(key).revision != expected:
            return False
        self._revision += 1
        self.values[key] = (value, self._revision)
        return True


class SimDaemon:
    """The control components of one daemon, connected as in `Node`, with a clock of its own."""

    def __init__(self, settings: NodeSettings, rng: random.Random, clock: float, drift: float):
        self.settings = settings
        self.clock_offset_s = clock
        self.drift = drift
        self.state = VmState.LIVE
        self.paused_until = 0.0
        self.buffered_events: list[Event] = []
        self.work_ends_at: dict[PoolId, list[float]] = {}
        self.now = clock
        self.applied_versions: list[int] = []
        self.sent_bytes = 0
        self.membership = Membership(settings=settings, rng=rng, facts=self._heartbeat_facts)
        self.ownership = Ownership(
            settings=settings, peers=self.membership, rng=rng, is_busy=self._is_busy
        )
        self.config = ConfigSync(settings=settings, peers=self.membership, rng=rng)

    def local_time(self, true_time: float) -> float:
        """Return the reading of this daemon's monotonic clock at a true time."""
        return self.clock_offset_s + true_time * (1.0 + self.drift)

    def handle(self, event: Event, true_time: float) -> list[Effect]:
        """Handle an event at a true time and return the effects."""
        self.now = self.local_time(true_time)
        if isinstance(event, StopRequested):
            self.state = VmState.LEAVING
        effects: list[Effect] = []
        for effect in self.config.handle(event, self.now):
            effects.append(effect)
            if isinstance(effect, ConfigChanged):
                self.applied_versions.append(effect.version)
                for component in (self.membership, self.ownership):
                    effects.extend(component.configure(self.config.cfg, self.now))
        for component in (self.membership, self.ownership):
            effects.extend(component.handle(event, self.now))
        return effects

    def _heartbeat_facts(self, now: float) -> HeartbeatFacts:
        return HeartbeatFacts(
            state=self.state,
            store=self.ownership.store_reach,
            store_witness=self.ownership.store_witness,
            lease_stamp=self.ownership.lease_stamp,
            table_revision=self.ownership.table_revision,
            table_shape=self.ownership.table_shape,
            config_version=self.config.cfg.version,
            pools=(),
        )

    def _is_busy(self, pool: PoolId) -> bool:
        return any(end > self.now for end in self.work_ends_at.get(pool, ()))


class Attempt(msgspec.Struct, frozen=True):
    """An attempt at a pool's upstream that goes on even if the daemon that started it ends.

    `ends_at` is in true time.
    """

    pool: PoolId
    vm: str
    incarnation: int
    ends_at: float


class Simulation:
    """Run daemons against one store and network, and check pool ownership after every event.

    Parameters
    ----------
    seed
        Seed of every random choice.
    places
        Zone and region of each VM, by name.
    publish
        Publishes the initial configuration in the store.
    max_attempt_s
        Upper bound of the duration of an attempt; seconds.
    loss
        Fraction of datagrams that are lost; the same fraction of the rest is delayed for up to 4 s.
    timing
        Intervals and timeouts of the daemons; the defaults if None.
    vm_list_lag_s
        Age of the platform's VM list when daemons receive it; seconds.
    """

    def __init__(
        self,
        *,
        seed: int,
        places: dict[str, tuple[str, str]],
        publish: Callable[[SimStore], None],
        max_attempt_s: float = 2.0,
        loss: float = 0.02,
        timing: Timing | None = None,
        vm_list_lag_s: float = 3.0,
    ) -> None:
        self.rng = random.Random(seed)
        self.places = places
        self.timing = timing or Timing()
        self.max_attempt_s = max_attempt_s
        self.loss = loss
        self.vm_list_lag_s = vm_list_lag_s
        self.now = 0.0
        self.store = SimStore()
        publish(self.store)
        self.daemons: dict[str, SimDaemon] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self.attempts: list[Attempt] = []
        self.epochs: dict[PoolId, int] = {}
        self.swap_outcome: Callable[[], str] = lambda: APPLIED
        self.unanswered_watches = False
        self.check_count = 0
        self.calls_by_key: Counter[str] = Counter()
        self.logs: list[tuple[VmId, LogEvent]] = []
        self.datagram_bytes = 0
        self._incarnations: dict[str, int] = {}
        self._vm_lists: list[tuple[float, tuple[ListedVm, ...]]] = []
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        for vm in places:
            self.start(vm)
        self.at(0.0, self._deliver_vm_list)

    def at(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in true seconds."""
        self._sequence += 1
        heapq.heappush(self._heap, (self.now + delay, self._sequence, action))

    def run(self, seconds: float) -> None:
        """Run all actions that are due within the next seconds of true time."""
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        self.now = end

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> float:
        """Run until a condition holds and return the true seconds until then.

        Raises AssertionError if that takes `limit_s` or longer.
        """
        started = self.now
        while not condition():
            assert self.now < started + limit_s, f"the condition did not hold within {limit_s} s"
            self.run(TICK_S)
        return self.now - started

    def start(self, vm: str) -> None:
        """Start a daemon on a VM as a new incarnation."""
        zone, region = self.places[vm]
        self._incarnations[vm] = self._incarnations.get(vm, 0) + 1
        settings = NodeSettings(
            vm=VmId(vm),
            incarnation=Incarnation(self._incarnations[vm]),
            zone=ZoneName(zone),
            region=RegionName(region),
            address=vm,
            http_address=f"{vm}:http",
            peers=tuple(sorted(self.places)),
            timing=self.timing,
        )
        clock = self.rng.uniform(0.0, 1e6)
        drift = self.rng.uniform(-0.01, 0.01)
        daemon = self.make_daemon(settings, random.Random(self.rng.random()), clock, drift)
        self.daemons[vm] = daemon
        self.at(self.rng.uniform(0.0, TICK_S), lambda: self._tick(daemon))

    def make_daemon(
        self, settings: NodeSettings, rng: random.Random, clock: float, drift: float
    ) -> SimDaemon:
        """Return a new simulated daemon; a subclass may return one with more components."""
        return SimDaemon(settings, rng, clock, drift)

    def kill(self, vm: str) -> None:
        """End a daemon at once; its attempts at upstreams go on."""
        self.daemons.pop(vm, None)

    def stop(self, vm: str) -> None:
        """Request a planned stop of a daemon."""
        self._feed(self.daemons[vm], StopRequested())

    def pause(self, vm: str, seconds: float) -> None:
        """Suspend a daemon's process for some seconds; events are buffered until it resumes."""
        daemon = self.daemons[vm]
        daemon.paused_until = max(daemon.paused_until, self.now + seconds)
        self.at(seconds, lambda: self._resume(daemon))

    def cut(self, one: str, other: str) -> None:
        """Block traffic in both directions between two VMs, or between a VM and the store."""
        self.cut_links.update(((one, other), (other, one)))

    def cut_one_way(self, source: str, target: str) -> None:
        """Block traffic from one VM to another but not back."""
        self.cut_links.add((source, target))

    def running(self) -> list[SimDaemon]:
        """Return the daemons that are running and not paused."""
        return [daemon for daemon in self.daemons.values() if daemon.paused_until <= self.now]

    def holders(self, pool: PoolId) -> list[SimDaemon]:
        """Return the running daemons that hold a valid lease of a pool."""
        return [
            daemon
            for daemon in self.running()
            if daemon.ownership.holding(pool, daemon.local_time(self.now))
        ]

    def check(self) -> None:
        """Check that no two daemons use the same pool and that no version or epoch decreases."""
        self.check_count += 1
        held: dict[PoolId, SimDaemon] = {}
        self.attempts = [a for a in self.attempts if a.ends_at > self.now]
        for daemon in self.running():
            local_time = daemon.local_time(self.now)
            assert daemon.applied_versions == sorted(
                set(daemon.applied_versions)
            ), daemon.applied_versions
            for pool, holding in daemon.ownership.holdings(local_time).items():
                first = held.setdefault(pool, daemon)
                assert first is daemon, (
                    f"two owners of {pool} at {self.now:.3f} s: "
                    f"{first.settings.vm} and {daemon.settings.vm}"
                )
                assert holding.epoch >= self.epochs.get(pool, 0), f"the epoch of {pool} fell"
                self.epochs[pool] = holding.epoch
                if local_time >= holding.former_work_until:
                    self._check_foreign_work(daemon, pool)

    def _check_foreign_work(self, daemon: SimDaemon, pool: PoolId) -> None:
        owner = (daemon.settings.vm, daemon.settings.incarnation)
        for attempt in self.attempts:
            foreign = attempt.pool == pool and (attempt.vm, attempt.incarnation) != owner
            assert not foreign, (
                f"{owner} uses {pool} at {self.now:.3f} s while {attempt.vm} has work in it "
                f"until {attempt.ends_at:.3f} s"
            )

    def _tick(self, daemon: SimDaemon) -> None:
        if self.daemons.get(daemon.settings.vm) is not daemon:
            return
        if daemon.paused_until <= self.now:
            self._feed(daemon, Tick(wall=self.now))
            self._start_random_attempts(daemon)
        self.at(TICK_S, lambda: self._tick(daemon))

    def _start_random_attempts(self, daemon: SimDaemon) -> None:
        """Start attempts at random in the pools that the daemon holds."""
        for pool in daemon.ownership.holdings(daemon.now):
            if self.rng.random() < 0.2:
                duration = self.rng.uniform(0.05, self.max_attempt_s * 0.98)
                daemon.work_ends_at.setdefault(pool, []).append(daemon.now + duration * 1.01)
                owner = daemon.settings
                self.attempts.append(
                    Attempt(pool, owner.vm, owner.incarnation, self.now + duration)
                )

    def _resume(self, daemon: SimDaemon) -> None:
        if daemon.paused_until > self.now:
            return
        events, daemon.buffered_events = daemon.buffered_events, []
        for event in events:
            self._feed(daemon, event)

    def _feed(self, daemon: SimDaemon, event: Event) -> None:
        if self.daemons.get(daemon.settings.vm) is not daemon:
            return
        if daemon.paused_until > self.now:
            daemon.buffered_events.append(event)
            return
        for effect in daemon.handle(event, self.now):
            self._execute_effect(daemon, effect)
        self.check()

    def _execute_effect(self, daemon: SimDaemon, effect: Effect) -> None:
        if isinstance(effect, SendMessage):
            self._send(daemon, effect)
        elif isinstance(effect, StoreGet | StoreSwap | StoreWatch):
            self._call_store(daemon, effect)
        elif isinstance(effect, LogEvent):
            self.logs.append((daemon.settings.vm, effect))

    def _is_cut(self, one: str, other: str) -> bool:
        return (one, other) in self.cut_links

    def _send(self, daemon: SimDaemon, effect: SendMessage) -> None:
        data = encode_message(effect.message)
        assert len(data) <= MAX_DATAGRAM_BYTES, f"{len(data)} bytes: {effect.message}"
        daemon.sent_bytes += len(data) + DATAGRAM_HEADER_BYTES
        source = daemon.settings.address
        if self.rng.random() < self.loss or self._is_cut(source, effect.address):
            return
        delay = self.rng.uniform(0.001, 0.02)
        if self.rng.random() < self.loss:
            delay = self.rng.uniform(0.1, 4.0)
        self.at(delay, lambda: self._deliver(source, effect.address, data))

    def _deliver(self, source: str, target: str, data: bytes) -> None:
        daemon = self.daemons.get(target)
        message = decode_message(data)
        assert message is not None
        if daemon is not None:
            self._feed(daemon, MessageArrived(message, source))

    def _call_store(self, daemon: SimDaemon, effect: StoreGet | StoreSwap | StoreWatch) -> None:
        self.store.calls += 1
        self.calls_by_key[effect.key] += 1
        delay = self.rng.uniform(0.001, 0.01)
        self.at(delay, lambda: self._handle_store_call(daemon, effect))

    def _can_reach_store(self, daemon: SimDaemon) -> bool:
        return self.store.available and not self._is_cut(daemon.settings.vm, STORE)

    def _handle_store_call(
        self, daemon: SimDaemon, effect: StoreGet | StoreSwap | StoreWatch
    ) -> None:
        if isinstance(effect, StoreWatch):
            self._check_watch(daemon, effect, self.now + effect.wait_s)
            return
        if not self._can_reach_store(daemon):
            self._fail_store_call(daemon, effect)
            return
        if isinstance(effect, StoreGet):
            self._answer_store_call(
                daemon, StoreGot(effect.call_id, (self.store.read(effect.key),))
            )
            return
        outcome = self.swap_outcome()
        if outcome == APPLIED:
            applied = self.store.swap(effect.key, effect.value, effect.expected)
            current = self.store.read(effect.key)
            self._answer_store_call(daemon, StoreWritten(effect.call_id, applied, current))
            return
        if outcome == LATE:
            late = self.rng.uniform(0.0, 8.0)
            self.at(late, lambda: self._apply_late_swap(effect))
        elif outcome != LOST:
            self.store.swap(effect.key, effect.value, effect.expected)
        self._fail_store_call(daemon, effect)

    def _apply_late_swap(self, effect: StoreSwap) -> None:
        self.store.swap(effect.key, effect.value, effect.expected)

    def _check_watch(self, daemon: SimDaemon, effect: StoreWatch, ends_at: float) -> None:
        if not self._can_reach_store(daemon):
            self._fail_store_call(daemon, effect)
            return
        value = self.store.read(effect.key)
        if self.unanswered_watches:
            return
        if value.revision > effect.after or self.now >= ends_at:
            self._answer_store_call(daemon, StoreGot(effect.call_id, (value,)))
        else:
            self.at(TICK_S, lambda: self._check_watch(daemon, effect, ends_at))

    def _fail_store_call(
        self, daemon: SimDaemon, effect: StoreGet | StoreSwap | StoreWatch
    ) -> None:
        failed = StoreFailed(effect.call_id, ambiguous=isinstance(effect, StoreSwap))
        self.at(self.timing.store_timeout_s, lambda: self._feed(daemon, failed))

    def _answer_store_call(self, daemon: SimDaemon, event: Event) -> None:
        self.at(self.rng.uniform(0.001, 0.01), lambda: self._feed(daemon, event))

    def _deliver_vm_list(self) -> None:
        """Deliver the platform's VM list to every daemon, as it was `vm_list_lag_s` ago."""
        lines = tuple(
            ListedVm(
                daemon.settings.vm,
                daemon.settings.zone,
                daemon.state,
                vm,
                daemon.settings.incarnation,
            )
            for vm, daemon in sorted(self.daemons.items())
        )
        self._vm_lists.append((self.now, lines))
        while len(self._vm_lists) > 1 and self._vm_lists[1][0] <= self.now - self.vm_list_lag_s:
            self._vm_lists.pop(0)
        for daemon in list(self.daemons.values()):
            self._feed(daemon, VmListArrived(self._vm_lists[0][1]))
        self.at(1.0, self._deliver_vm_list)


def owners(sim: Simulation, pools: Iterable[PoolId]) -> dict[PoolId, list[str]]:
    """Return the names of the VMs that hold each pool."""
    return {pool: [daemon.settings.vm for daemon in sim.holders(pool)] for pool in pools}


def config_publisher(cfg: Config) -> Callable[[SimStore], None]:
    """Return a function that publishes a configuration, under its own version, in a store."""
    plain = msgspec.to_builtins(cfg)
    del plain["version"]
    content = msgspec.json.encode(plain)

    def publish(store: SimStore) -> None:
        publish_files(store, {"config.json": content}, version=cfg.version)

    return publish


def publish_files(
    store: SimStore, files: dict[str, bytes | None], version: ConfigVersion | None = None
) -> ConfigVersion:
    """Publish changes to configuration files as the operators' command does.

    Returns the new version. A file whose content is None is deleted.
    """
    current = store.read(HEAD_KEY)
    head = decode_head(current.value)
    plan = plan_publication(head, Draft(files, "simulation", "", 0.0, "")).unwrap()
    new_head = msgspec.structs.replace(plan.head, version=version or plan.head.version)
    for key, value in plan.parts.items():
        store.swap(key, value, 0)
    assert store.swap(HEAD_KEY, encode_head(new_head), current.revision)
    return new_head.version
