"""Compare ways to use the key-value store: handling lost answers to writes, following a key."""

from __future__ import annotations

import random
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Annotated

import cappa
import msgspec
from returns.result import Failure

from gooseberryport_core.types import Revision
from gooseberryport_platform import Store, StoreSettings, SwapOutcome, confirmed_swap, open_store
from gooseberryport_standins.faults import StoreFaults
from gooseberryport_standins.store import KeyValues, StoreStandin, open_store_standin

KEY = "bench/key"
ABSENT = Revision(0)
RETRY_DELAY_S = 0.002
LATE_WRITE_DELAY_S = 0.02
WATCH_WAIT_S = 5.0
POLL_PERIODS_S = (0.05, 0.25, 1.0)

FAULTS = (
    StoreFaults(),
    StoreFaults(lose_answers=1),
    StoreFaults(lose_answers=2),
    StoreFaults(late_writes=1, late_s=LATE_WRITE_DELAY_S),
    StoreFaults(late_writes=2, late_s=LATE_WRITE_DELAY_S),
)


class WriteResult(Enum):
    """The result that a writer returns for its write."""

    APPLIED = "applied"
    NOT_APPLIED = "not applied"
    UNDECIDED = "undecided"


Writer = Callable[[Store, str, bytes, Revision], WriteResult]


class RecordingKeyValues(KeyValues):
    """A key-value map that records every value that was written."""

    def __init__(self) -> None:
        super().__init__()
        self.written: set[bytes] = set()

    def write(self, key: str, value: bytes, cas: int | None) -> bool:
        """Write a key and record the value if the write was applied."""
        applied = super().write(key, value, cas)
        if applied:
            self.written.add(value)
        return applied


def write_and_read_back(store: Store, key: str, value: bytes, expected: Revision) -> WriteResult:
    """Write once and read the key back if the answer was lost."""
    result = confirmed_swap(store, key, value, expected)
    if isinstance(result, Failure):
        return WriteResult.UNDECIDED
    results = {
        SwapOutcome.APPLIED: WriteResult.APPLIED,
        SwapOutcome.REJECTED: WriteResult.NOT_APPLIED,
    }
    return results.get(result.unwrap().outcome, WriteResult.UNDECIDED)


def write_until_answered(store: Store, key: str, value: bytes, expected: Revision) -> WriteResult:
    """Repeat the write until it is answered and return the result in that answer."""
    while True:
        result = store.swap(key, value, expected)
        if not isinstance(result, Failure):
            return WriteResult.APPLIED if result.unwrap().applied else WriteResult.NOT_APPLIED
        time.sleep(RETRY_DELAY_S)


def write_once(store: Store, key: str, value: bytes, expected: Revision) -> WriteResult:
    """Write once and treat a lost answer as a write that was not applied."""
    result = store.swap(key, value, expected)
    if isinstance(result, Failure):
        return WriteResult.NOT_APPLIED
    return WriteResult.APPLIED if result.unwrap().applied else WriteResult.NOT_APPLIED


WRITERS: dict[str, Writer] = {
    "settled by reading back": write_and_read_back,
    "repeated until answered": write_until_answered,
    "a lost answer is a failure": write_once,
}


def count_results(writer: Writer, *, writes: int, seed: int) -> Counter[str]:
    """Write under random faults beside a second writer and count right and wrong results."""
    rng = random.Random(seed)
    counts: Counter[str] = Counter()
    with open_store_standin() as standin:
        values = RecordingKeyValues()
        standin.values = values
        assert standin.server is not None
        with open_store(StoreSettings(standin.server.address)) as store:
            for number in range(writes):
                counts[_check_write(writer, store, standin, values, f"{KEY}/{number}", rng)] += 1
    return counts


def _check_write(
    writer: Writer,
    store: Store,
    standin: StoreStandin,
    values: RecordingKeyValues,
    key: str,
    rng: random.Random,
) -> str:
    value = f"ours {key}".encode()
    standin.set_faults(rng.choice(FAULTS))
    other = threading.Timer(
        rng.uniform(0.0, 2 * LATE_WRITE_DELAY_S), _overwrite, (values, key, rng.random() < 0.5)
    )
    other.start()
    reported = writer(store, key, value, ABSENT)
    other.join()
    standin.set_faults(StoreFaults())
    time.sleep(LATE_WRITE_DELAY_S)
    if reported == WriteResult.UNDECIDED:
        return "told that it is undecided"
    applied = value in values.written
    return "right" if applied == (reported == WriteResult.APPLIED) else "wrong"


def _overwrite(values: RecordingKeyValues, key: str, enabled: bool) -> None:
    """Overwrite a key unconditionally, as a second operator could."""
    if enabled:
        values.write(key, b"theirs", None)


class WatchCost(msgspec.Struct, frozen=True):
    """The cost of following a key: calls per second, and delays until changes were seen."""

    way: str
    calls_s: float
    mean_delay_ms: float
    worst_delay_ms: float


def follow(way: str, poll_s: float, *, seconds: float, seed: int) -> WatchCost:
    """Follow a key that changes at random times.

    Uses watches if `poll_s` is 0, else a read every `poll_s` seconds.
    """
    rng = random.Random(seed)
    with open_store_standin() as standin:
        assert standin.server is not None
        settings = StoreSettings(standin.server.address)
        seen: dict[bytes, float] = {}
        written: dict[bytes, float] = {}
        stop = time.monotonic() + seconds

        def read() -> None:
            revision = ABSENT
            with open_store(settings) as store:
                while time.monotonic() < stop:
                    left_s = max(stop - time.monotonic(), 0.01)
                    if poll_s:
                        got = store.get(KEY).unwrap()
                    else:
                        got = store.watch(KEY, revision, min(left_s, WATCH_WAIT_S)).unwrap()
                    revision = got.revision
                    seen.setdefault(got.value, time.monotonic())
                    time.sleep(min(poll_s, left_s))

        reader = threading.Thread(target=read)
        reader.start()
        number = 0
        while time.monotonic() < stop - 1.5:
            time.sleep(rng.uniform(0.5, 1.5))
            value = f"{number}".encode()
            written[value] = time.monotonic()
            standin.values.write(KEY, value, None)
            number += 1
        reader.join()
        delays = [(seen[value] - at) * 1_000 for value, at in written.items() if value in seen]
        calls = standin.stats.gets + standin.stats.watches
        return WatchCost(way, calls / seconds, sum(delays) / len(delays), max(delays))


@dataclass
class StoreBenchCommand:
    """Compare ways to use the key-value store and print Markdown tables."""

    seed: Annotated[int, cappa.Arg(long=True)] = 1
    writes: Annotated[int, cappa.Arg(long=True)] = 200
    seconds: Annotated[float, cappa.Arg(long=True)] = 10.0

    def __call__(self) -> None:
        """Run the bench."""
        print("| writer | right | wrong | told that it is undecided |\n|---|---|---|---|")
        for name, writer in WRITERS.items():
            counts = count_results(writer, writes=self.writes, seed=self.seed)
            kinds = ("right", "wrong", "told that it is undecided")
            print(f"| {name} | " + " | ".join(str(counts[kind]) for kind in kinds) + " |")
        print("\n| way | calls/s | mean delay ms | worst delay ms |\n|---|---|---|---|")
        ways = {"watch": 0.0, **{f"read every {p:g} s": p for p in POLL_PERIODS_S}}
        for way, poll_s in ways.items():
            cost = follow(way, poll_s, seconds=self.seconds, seed=self.seed)
            print(
                f"| {way} | {cost.calls_s:.1f} | {cost.mean_delay_ms:.0f} "
                f"| {cost.worst_delay_ms:.0f} |"
            )


if __name__ == "__main__":
    cappa.invoke(StoreBenchCommand)
