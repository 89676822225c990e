"""A small fleet of decision objects in one process, with its own clocks, network and store.

For tests and soaks of ownership, membership and configuration: no sockets, no threads, one seed.
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
    """A key-value service: revisions, compare-and-swap, and calls counted."""

    def __init__(self) -> None:
        self.values: dict[str, tuple[bytes, int]] = {}
        self.up = True
        self.calls = 0
        self._revision = 0

    def read(self, key: str) -> StoreValue:
        """Return a key as it stands."""
        value, revision = self.values.get(key, (b"", 0))
        return StoreValue(key, value, Revision(revision))

    def swap(self, key: str, value: bytes, expected: int) -> bool:
        """Write a key if it is at a revision; whether it was."""
        if self.read(key).revision != expected:
            return False
        self._revision += 1
        self.values[key] = (value, self._revision)
        return True


class SimDaemon:
    """The control decisions of one daemon, wired as `Node` wires them, with a clock of its own."""

    def __init__(self, settings: NodeSettings, rng: random.Random, clock: float, drift: float):
        self.settings = settings
        self.offset = clock
        self.drift = drift
        self.state = VmState.LIVE
        self.paused_until = 0.0
        self.waiting: list[Event] = []
        self.work: dict[PoolId, list[float]] = {}
        self.now = clock
        self.versions: list[int] = []
        self.sent_bytes = 0
        self.membership = Membership(settings=settings, rng=rng, facts=self._facts)
        self.ownership = Ownership(
            settings=settings, peers=self.membership, rng=rng, is_busy=self._busy
        )
        self.config = ConfigSync(settings=settings, peers=self.membership, rng=rng)

    def local(self, true: float) -> float:
        """Return this daemon's monotonic clock at a true time."""
        return self.offset + true * (1.0 + self.drift)

    def handle(self, event: Event, true: float) -> list[Effect]:
        """Handle an event at a true time."""
        self.now = self.local(true)
        if isinstance(event, StopRequested):
            self.state = VmState.LEAVING
        effects: list[Effect] = []
        for effect in self.config.handle(event, self.now):
            effects.append(effect)
            if isinstance(effect, ConfigChanged):
                self.versions.append(effect.version)
                for part in (self.membership, self.ownership):
                    effects.extend(part.configure(self.config.cfg, self.now))
        for part in (self.membership, self.ownership):
            effects.extend(part.handle(event, self.now))
        return effects

    def _facts(self, now: float) -> HeartbeatFacts:
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

    def _busy(self, pool: PoolId) -> bool:
        return any(end > self.now for end in self.work.get(pool, ()))


class Attempt(msgspec.Struct, frozen=True):
    """Work at a pool's upstreams, in true time; it outlives the daemon that started it."""

    pool: PoolId
    vm: str
    incarnation: int
    ends_at: float


class Simulation:
    """Run daemons against one store and network, and check who holds what at every step.

    Parameters
    ----------
    seed
        Seed of every random choice.
    places
        Zone and region of each VM, by name.
    cfg
        The configuration that the store holds; only its limits and services matter here.
    loss
        Share of datagrams that are lost.
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
        list_lag_s: float = 3.0,
    ) -> None:
        self.rng = random.Random(seed)
        self.places = places
        self.timing = timing or Timing()
        self.max_attempt_s = max_attempt_s
        self.loss = loss
        self.list_lag_s = list_lag_s
        self.now = 0.0
        self.store = SimStore()
        publish(self.store)
        self.daemons: dict[str, SimDaemon] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.attempts: list[Attempt] = []
        self.epochs: dict[PoolId, int] = {}
        self.swap_fate: Callable[[], str] = lambda: APPLIED
        self.silent_watches = False
        self.checked = 0
        self.calls_by_key: Counter[str] = Counter()
        self.logs: list[tuple[VmId, LogEvent]] = []
        self.datagram_bytes = 0
        self._incarnations: dict[str, int] = {}
        self._list: list[tuple[float, tuple[ListedVm, ...]]] = []
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = 0
        for vm in places:
            self.start(vm)
        self.at(0.0, self._publish_list)

    def at(self, delay: float, action: Callable[[], None]) -> None:
        """Do something after a delay in true seconds."""
        self._serial += 1
        heapq.heappush(self._heap, (self.now + delay, self._serial, action))

    def run(self, seconds: float) -> None:
        """Let true time pass."""
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        self.now = end

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> float:
        """Run until a condition holds and return the true seconds that took; fails at the limit."""
        started = self.now
        while not condition():
            assert self.now < started + limit_s, f"not within {limit_s} s"
            self.run(TICK_S)
        return self.now - started

    def start(self, vm: str) -> None:
        """Start a daemon on a VM, as a new incarnation."""
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
        """Return the decisions of one daemon; a subclass may run more of them."""
        return SimDaemon(settings, rng, clock, drift)

    def kill(self, vm: str) -> None:
        """End a daemon at once; its work at upstreams goes on."""
        self.daemons.pop(vm, None)

    def stop(self, vm: str) -> None:
        """Ask a daemon for a planned stop."""
        self._feed(self.daemons[vm], StopRequested())

    def pause(self, vm: str, seconds: float) -> None:
        """Stop a daemon's process for a while; what arrives waits in its buffers."""
        daemon = self.daemons[vm]
        daemon.paused_until = max(daemon.paused_until, self.now + seconds)
        self.at(seconds, lambda: self._resume(daemon))

    def cut(self, one: str, other: str) -> None:
        """Cut two VMs, or a VM and the store, from each other."""
        self.cuts.update(((one, other), (other, one)))

    def cut_one_way(self, source: str, target: str) -> None:
        """Lose every datagram from one VM to another."""
        self.cuts.add((source, target))

    def running(self) -> list[SimDaemon]:
        """Return the daemons that execute now."""
        return [d for d in self.daemons.values() if d.paused_until <= self.now]

    def holders(self, pool: PoolId) -> list[SimDaemon]:
        """Return the running daemons that hold a pool validly."""
        return [d for d in self.running() if d.ownership.holding(pool, d.local(self.now))]

    def check(self) -> None:
        """Check that no two daemons use one pool's slots, and that no version falls."""
        self.checked += 1
        held: dict[PoolId, SimDaemon] = {}
        self.attempts = [a for a in self.attempts if a.ends_at > self.now]
        for daemon in self.running():
            local = daemon.local(self.now)
            assert daemon.versions == sorted(set(daemon.versions)), daemon.versions
            for pool, holding in daemon.ownership.holdings(local).items():
                first = held.setdefault(pool, daemon)
                assert first is daemon, (
                    f"two owners of {pool} at {self.now:.3f} s: "
                    f"{first.settings.vm} and {daemon.settings.vm}"
                )
                assert holding.epoch >= self.epochs.get(pool, 0), f"epoch of {pool} fell"
                self.epochs[pool] = holding.epoch
                if local >= holding.former_work_until:
                    self._check_work(daemon, pool)

    def _check_work(self, daemon: SimDaemon, pool: PoolId) -> None:
        me = (daemon.settings.vm, daemon.settings.incarnation)
        for attempt in self.attempts:
            foreign = attempt.pool == pool and (attempt.vm, attempt.incarnation) != me
            assert not foreign, (
                f"{me} uses {pool} at {self.now:.3f} s while {attempt.vm} has work in it "
                f"until {attempt.ends_at:.3f} s"
            )

    def _tick(self, daemon: SimDaemon) -> None:
        if self.daemons.get(daemon.settings.vm) is not daemon:
            return
        if daemon.paused_until <= self.now:
            self._feed(daemon, Tick(wall=self.now))
            self._work(daemon)
        self.at(TICK_S, lambda: self._tick(daemon))

    def _work(self, daemon: SimDaemon) -> None:
        """Start attempts in the pools that the daemon holds."""
        for pool in daemon.ownership.holdings(daemon.now):
            if self.rng.random() < 0.2:
                duration = self.rng.uniform(0.05, self.max_attempt_s * 0.98)
                daemon.work.setdefault(pool, []).append(daemon.now + duration * 1.01)
                me = daemon.settings
                self.attempts.append(Attempt(pool, me.vm, me.incarnation, self.now + duration))

    def _resume(self, daemon: SimDaemon) -> None:
        if daemon.paused_until > self.now:
            return
        waiting, daemon.waiting = daemon.waiting, []
        for event in waiting:
            self._feed(daemon, event)

    def _feed(self, daemon: SimDaemon, event: Event) -> None:
        if self.daemons.get(daemon.settings.vm) is not daemon:
            return
        if daemon.paused_until > self.now:
            daemon.waiting.append(event)
            return
        for effect in daemon.handle(event, self.now):
            self._carry_out(daemon, effect)
        self.check()

    def _carry_out(self, daemon: SimDaemon, effect: Effect) -> None:
        if isinstance(effect, SendMessage):
            self._send(daemon, effect)
        elif isinstance(effect, StoreGet | StoreSwap | StoreWatch):
            self._call(daemon, effect)
        elif isinstance(effect, LogEvent):
            self.logs.append((daemon.settings.vm, effect))

    def _is_cut(self, one: str, other: str) -> bool:
        return (one, other) in self.cuts

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

    def _call(self, daemon: SimDaemon, effect: StoreGet | StoreSwap | StoreWatch) -> None:
        self.store.calls += 1
        self.calls_by_key[effect.key] += 1
        delay = self.rng.uniform(0.001, 0.01)
        self.at(delay, lambda: self._serve(daemon, effect))

    def _reaches(self, daemon: SimDaemon) -> bool:
        return self.store.up and not self._is_cut(daemon.settings.vm, STORE)

    def _serve(self, daemon: SimDaemon, effect: StoreGet | StoreSwap | StoreWatch) -> None:
        if isinstance(effect, StoreWatch):
            self._watch(daemon, effect, self.now + effect.wait_s)
            return
        if not self._reaches(daemon):
            self._fail(daemon, effect)
            return
        if isinstance(effect, StoreGet):
            self._answer(daemon, StoreGot(effect.call_id, (self.store.read(effect.key),)))
            return
        fate = self.swap_fate()
        if fate == APPLIED:
            applied = self.store.swap(effect.key, effect.value, effect.expected)
            current = self.store.read(effect.key)
            self._answer(daemon, StoreWritten(effect.call_id, applied, current))
            return
        if fate == LATE:
            late = self.rng.uniform(0.0, 8.0)
            self.at(late, lambda: self._swap_late(effect))
        elif fate != LOST:
            self.store.swap(effect.key, effect.value, effect.expected)
        self._fail(daemon, effect)

    def _swap_late(self, effect: StoreSwap) -> None:
        self.store.swap(effect.key, effect.value, effect.expected)

    def _watch(self, daemon: SimDaemon, effect: StoreWatch, ends_at: float) -> None:
        if not self._reaches(daemon):
            self._fail(daemon, effect)
            return
        value = self.store.read(effect.key)
        if self.silent_watches:
            return
        if value.revision > effect.after or self.now >= ends_at:
            self._answer(daemon, StoreGot(effect.call_id, (value,)))
        else:
            self.at(TICK_S, lambda: self._watch(daemon, effect, ends_at))

    def _fail(self, daemon: SimDaemon, effect: StoreGet | StoreSwap | StoreWatch) -> None:
        failed = StoreFailed(effect.call_id, ambiguous=isinstance(effect, StoreSwap))
        self.at(self.timing.store_timeout_s, lambda: self._feed(daemon, failed))

    def _answer(self, daemon: SimDaemon, event: Event) -> None:
        self.at(self.rng.uniform(0.001, 0.01), lambda: self._feed(daemon, event))

    def _publish_list(self) -> None:
        """Tell every daemon the platform's VM list as it was some time ago."""
        lines = tuple(
            ListedVm(d.settings.vm, d.settings.zone, d.state, vm, d.settings.incarnation)
            for vm, d in sorted(self.daemons.items())
        )
        self._list.append((self.now, lines))
        while len(self._list) > 1 and self._list[1][0] <= self.now - self.list_lag_s:
            self._list.pop(0)
        for daemon in list(self.daemons.values()):
            self._feed(daemon, VmListArrived(self._list[0][1]))
        self.at(1.0, self._publish_list)


def owners(sim: Simulation, pools: Iterable[PoolId]) -> dict[PoolId, list[str]]:
    """Return the names of the holders of each pool."""
    return {pool: [d.settings.vm for d in sim.holders(pool)] for pool in pools}


def publish_whole(cfg: Config) -> Callable[[SimStore], None]:
    """Return what publishes a configuration, as the newest version, in a store."""
    plain = msgspec.to_builtins(cfg)
    del plain["version"]
    content = msgspec.json.encode(plain)

    def publish(store: SimStore) -> None:
        publish_files(store, {"config.json": content}, version=cfg.version)

    return publish


def publish_files(
    store: SimStore, files: dict[str, bytes | None], version: ConfigVersion | None = None
) -> ConfigVersion:
    """Publish changes of files, as an operator's tool does, and return the version."""
    current = store.read(HEAD_KEY)
    head = decode_head(current.value)
    plan = plan_publication(head, Draft(files, "simulation", "", 0.0, "")).unwrap()
    new_head = msgspec.structs.replace(plan.head, version=version or plan.head.version)
    for key, value in plan.parts.items():
        store.swap(key, value, 0)
    assert store.swap(HEAD_KEY, encode_head(new_head), current.revision)
    return new_head.version
