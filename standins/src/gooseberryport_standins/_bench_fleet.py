"""A fleet of complete nodes in one process, to measure the cost of the control plane per node.

Messages and results of store calls arrive at the next step, 5 ms later. Nothing is lost or slow,
so that the idle state is measured. Each node's tick has a random phase.
"""

from __future__ import annotations

import json
import random
import time
from collections import Counter, defaultdict
from collections.abc import Callable

import msgspec

from gooseberryport_core import Node, NodeSettings
from gooseberryport_core.config_store import (
    HEAD_KEY,
    Draft,
    Head,
    encode_head,
    plan_publication,
)
from gooseberryport_core.effects import (
    Effect,
    SendMessage,
    StoreGet,
    StoreList,
    StoreSwap,
    StoreWatch,
)
from gooseberryport_core.events import (
    Event,
    ListedVm,
    MessageArrived,
    StoreGot,
    StoreValue,
    StoreWritten,
    Tick,
    VmListArrived,
)
from gooseberryport_core.messages import decode_message, encode_message
from gooseberryport_core.types import (
    Incarnation,
    RegionName,
    Revision,
    VmId,
    VmState,
    ZoneName,
)

STEP_S = 0.005
STEPS_PER_TICK = 10
DATAGRAM_HEADER_BYTES = 28
"""Size of the IPv4 and UDP headers of a datagram."""


class Shape(msgspec.Struct, frozen=True):
    """The size of a deployment.

    Parameters
    ----------
    daemons
        Number of entry VMs, spread evenly over the zones.
    regions, zones
        Number of regions, and of zones in all regions together.
    services, upstreams
        Number of services, and of upstreams per service and zone.
    """

    daemons: int
    regions: int = 3
    zones: int = 6
    services: int = 2
    upstreams: int = 2

    def __str__(self) -> str:
        pools = self.services * self.zones
        return (
            f"{self.daemons} daemons, {self.regions} regions, {self.zones} zones,"
            f" {pools} pools of {self.upstreams}"
        )


class Usage(msgspec.Struct):
    """The resources that all nodes used together.

    Parameters
    ----------
    node_s
        Processor time of the nodes' event handling, by kind of event; seconds.
    codec_s
        Processor time for encoding and decoding messages; seconds.
    datagrams, sent_bytes
        Messages sent, and their bytes including headers.
    max_message_bytes
        Size of the longest message without headers; bytes.
    store_calls
        Calls to the key-value store, by kind.
    """

    node_s: dict[str, float] = msgspec.field(default_factory=lambda: defaultdict(float))
    codec_s: float = 0.0
    datagrams: int = 0
    sent_bytes: int = 0
    max_message_bytes: int = 0
    store_calls: Counter[str] = msgspec.field(default_factory=Counter)


class Fleet:
    """Run nodes against one key-value store in memory.

    Parameters
    ----------
    shape
        Size of the deployment.
    seed
        Seed of every random choice.
    """

    def __init__(self, shape: Shape, seed: int) -> None:
        self.shape = shape
        self.now = 1_000.0
        self.usage = Usage()
        self.nodes: dict[str, Node] = {}
        self._rng = random.Random(seed)
        self._store: dict[str, StoreValue] = {}
        self._revision = 0
        self._inbox: dict[str, list[Event | bytes]] = {}
        self._step = 0
        self._phases = [self._rng.randrange(STEPS_PER_TICK) for _ in range(shape.daemons)]
        self._watches: list[tuple[str, StoreWatch, float]] = []
        self._publish(_config_files(shape))
        for number in range(shape.daemons):
            self._start(number)

    def run(self, seconds: float) -> None:
        """Run the nodes for some seconds of simulated time."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self._answer_due_watches()
            arrived, self._inbox = self._inbox, {address: [] for address in self.nodes}
            self._step += 1
            for number, (address, node) in enumerate(self.nodes.items()):
                for event in arrived[address]:
                    self._feed(address, node, event)
                if (self._step + self._phases[number]) % STEPS_PER_TICK == 0:
                    self._feed(address, node, Tick(wall=self.now))

    def _start(self, number: int) -> None:
        zone_number = number % self.shape.zones
        address = f"10.0.{number // 250}.{number % 250 + 1}:7000"
        settings = NodeSettings(
            vm=VmId(f"entry-{number:03}"),
            incarnation=Incarnation(1_764_800_000_000 + number),
            zone=_zone(zone_number),
            region=_region(zone_number % self.shape.regions),
            address=address,
            http_address=address.replace(":7000", ":8080"),
        )
        self.nodes[address] = Node(settings=settings, rng=random.Random(self._rng.random()))
        listed = tuple(
            ListedVm(VmId(f"entry-{n:03}"), _zone(n % self.shape.zones), VmState.LIVE, address_n)
            for n, address_n in (
                (n, f"10.0.{n // 250}.{n % 250 + 1}:7000") for n in range(self.shape.daemons)
            )
        )
        self._inbox[address] = [VmListArrived(listed)]

    def _feed(self, address: str, node: Node, event: Event | bytes) -> None:
        if isinstance(event, bytes):
            started = time.thread_time()
            message = decode_message(event)
            self.usage.codec_s += time.thread_time() - started
            assert message is not None
            event = MessageArrived(message, address)
        kind = type(event).__name__
        if isinstance(event, MessageArrived):
            kind = type(event.message).__name__
        started = time.thread_time()
        effects = node.handle(event, self.now)
        self.usage.node_s[kind] += time.thread_time() - started
        for effect in effects:
            self._execute_effect(address, effect)

    def _execute_effect(self, address: str, effect: Effect) -> None:
        if isinstance(effect, SendMessage):
            self._send(effect)
        elif isinstance(effect, StoreGet):
            self._count_store_call("get")
            self._inbox[address].append(StoreGot(effect.call_id, (self._read(effect.key),)))
        elif isinstance(effect, StoreList):
            self._count_store_call("list")
            found = [v for k, v in sorted(self._store.items()) if k.startswith(effect.prefix)]
            self._inbox[address].append(StoreGot(effect.call_id, tuple(found)))
        elif isinstance(effect, StoreSwap):
            self._count_store_call("swap")
            applied = self._swap(effect.key, effect.value, effect.expected)
            written = StoreWritten(effect.call_id, applied, self._read(effect.key))
            self._inbox[address].append(written)
        elif isinstance(effect, StoreWatch):
            self._count_store_call("watch")
            self._watches.append((address, effect, self.now + effect.wait_s))

    def _send(self, effect: SendMessage) -> None:
        started = time.thread_time()
        data = encode_message(effect.message)
        self.usage.codec_s += time.thread_time() - started
        self.usage.datagrams += 1
        self.usage.sent_bytes += len(data) + DATAGRAM_HEADER_BYTES
        self.usage.max_message_bytes = max(self.usage.max_message_bytes, len(data))
        if effect.address in self._inbox:
            self._inbox[effect.address].append(data)

    def _count_store_call(self, kind: str) -> None:
        self.usage.store_calls[kind] += 1

    def _answer_due_watches(self) -> None:
        waiting = []
        for address, watch, ends_at in self._watches:
            value = self._read(watch.key)
            if value.revision > watch.after or self.now >= ends_at:
                self._inbox[address].append(StoreGot(watch.call_id, (value,)))
            else:
                waiting.append((address, watch, ends_at))
        self._watches = waiting

    def _read(self, key: str) -> StoreValue:
        return self._store.get(key, StoreValue(key, b"", Revision(0)))

    def _swap(self, key: str, value: bytes, expected: Revision) -> bool:
        if self._read(key).revision != expected:
            return False
        self._revision += 1
        self._store[key] = StoreValue(key, value, Revision(self._revision))
        return True

    def _publish(self, files: dict[str, bytes]) -> None:
        draft = Draft(dict(files), "bench", "", 0.0, "bench")
        plan = plan_publication(Head(), draft).unwrap()
        for key, value in plan.parts.items():
            self._swap(key, value, Revision(0))
        self._swap(HEAD_KEY, encode_head(plan.head), Revision(0))


def _zone(number: int) -> ZoneName:
    return ZoneName(f"zone-{number:02}")


def _region(number: int) -> RegionName:
    return RegionName(f"region-{number}")


def _config_files(shape: Shape) -> dict[str, bytes]:
    """Return the configuration files of a deployment, with one file per service."""
    names = [_region(n) for n in range(shape.regions)]
    zones = [_zone(n) for n in range(shape.zones)]
    regions = {
        name: {"availability_zones": zones[n :: shape.regions]} for n, name in enumerate(names)
    }
    links = {
        f"{a}-{b}": {"source": a, "destination": b, "limit_mbit_s": 280.0}
        for a in names
        for b in names
        if a != b
    }
    files: dict[str, object] = {"10-regions.json": {"regions": regions, "links": links}}
    for service in range(shape.services):
        name = f"service-{service:02}"
        upstreams = {
            f"{name}-{zone}-{n:02}": {
                "service": name,
                "availability_zone": zone,
                "address": f"10.{100 + service}.{number}.{n + 1}:80",
            }
            for number, zone in enumerate(zones)
            for n in range(shape.upstreams)
        }
        files[f"40-{name}.json"] = {"services": {name: {}}, "upstreams": upstreams}
    return {name: json.dumps(value).encode() for name, value in files.items()}


def measure(action: Callable[[], object]) -> float:
    """Return the processor time that an action takes in this thread; seconds."""
    started = time.thread_time()
    action()
    return time.thread_time() - started
