import threading
from collections.abc import Iterator

import pytest

from gooseberryport_core.effects import StoreGet, StoreList, StoreSwap, StoreWatch
from gooseberryport_core.events import StoreFailed, StoreGot, StoreValue, StoreWritten
from gooseberryport_core.types import CallId, Revision
from gooseberryport_platform.calls import CallCounter, CallKind, CallOutcome
from gooseberryport_platform.compare_and_swap import SwapOutcome, confirmed_swap
from gooseberryport_platform.errors import AddressInvalidError, WriteOutcomeUnknownError
from gooseberryport_platform.store import Store, StoreSettings, open_store, run_store_effect
from gooseberryport_standins.faults import Outage, StoreFaults
from gooseberryport_standins.store import StoreStandin, open_store_standin

ABSENT = Revision(0)
CALL = CallId(7)
KEY = "config/head"


@pytest.fixture
def standin() -> Iterator[StoreStandin]:
    with open_store_standin() as standin:
        yield standin


@pytest.fixture
def store(standin: StoreStandin) -> Iterator[Store]:
    with open_store(StoreSettings(standin.server.address)) as store:
        yield store


def write(store: Store, key: str, value: bytes, expected: int = 0) -> int:
    swapped = store.swap(key, value, Revision(expected)).unwrap()
    assert swapped.applied
    return swapped.current.revision


def test_each_effect_returns_its_event(store: Store) -> None:
    assert run_store_effect(store, StoreGet(CALL, KEY)) == StoreGot(
        CALL, (StoreValue(KEY, b"", ABSENT),)
    )
    created = run_store_effect(store, StoreSwap(CALL, KEY, b'{"a": "\xc3\xa9"}', ABSENT))
    assert isinstance(created, StoreWritten) and created.applied
    assert created.current.value == b'{"a": "\xc3\xa9"}'
    rejected = run_store_effect(store, StoreSwap(CALL, KEY, b"other", ABSENT))
    assert rejected == StoreWritten(CALL, False, created.current)
    write(store, "config/a part?", b"1")
    listed = run_store_effect(store, StoreList(CALL, "config/"))
    assert [value.key for value in listed.values] == ["config/a part?", KEY]
    assert run_store_effect(store, StoreList(CALL, "none/")) == StoreGot(CALL, ())


@pytest.mark.parametrize("existing", [False, True])
def test_watch_returns_only_for_its_own_key(store: Store, existing: bool) -> None:
    after = write(store, KEY, b"old") if existing else 0
    got: list[StoreGot] = []
    watch = StoreWatch(CALL, KEY, Revision(after), 20.0)
    thread = threading.Thread(target=lambda: got.append(run_store_effect(store, watch)))
    thread.start()
    write(store, "other", b"x")
    write(store, KEY, b"new", after)
    thread.join(10.0)
    assert got[0].values[0].value == b"new"


def test_watch_without_a_write_times_out_and_an_earlier_write_returns_at_once(store: Store) -> None:
    first = write(store, KEY, b"1")
    unchanged = run_store_effect(store, StoreWatch(CALL, KEY, Revision(first), 0.05))
    assert unchanged.values[0].revision == first
    write(store, KEY, b"2", first)
    changed = run_store_effect(store, StoreWatch(CALL, KEY, Revision(first), 20.0))
    assert changed.values[0].value == b"2"


@pytest.mark.parametrize(
    ("faults", "ambiguous"),
    [
        (StoreFaults(outage=Outage.REFUSE), False),
        (StoreFaults(outage=Outage.HANG), True),
        (StoreFaults(outage=Outage.ERROR), True),
        (StoreFaults(lose_answers=1), True),
        (StoreFaults(late_writes=1, late_s=0.01), True),
        (StoreFaults(delay_s=1.0), True),
    ],
)
def test_failed_write_is_ambiguous_if_it_may_have_taken_effect(
    standin: StoreStandin, faults: StoreFaults, ambiguous: bool
) -> None:
    counter = CallCounter()
    settings = StoreSettings(standin.server.address, timeout_s=0.2)
    with open_store(settings, counter=counter) as store:
        standin.set_faults(faults)
        event = run_store_effect(store, StoreSwap(CALL, KEY, b"v", ABSENT))
        assert event == StoreFailed(CALL, ambiguous)
        outcome = CallOutcome.AMBIGUOUS if ambiguous else CallOutcome.FAILED
        assert counter.count(CallKind.SWAP, outcome) == counter.count(CallKind.SWAP) == 1


def test_value_over_the_length_limit_is_rejected_with_its_key(store: Store) -> None:
    error = store.swap(KEY, b"x" * 1_000_001, ABSENT).failure()
    assert not error.ambiguous
    assert KEY in str(error) and "1000001 bytes" in str(error)


def test_reads_are_retried_and_writes_are_not(standin: StoreStandin, store: Store) -> None:
    counter = CallCounter()
    standin.set_faults(StoreFaults(outage=Outage.ERROR))
    with open_store(
        StoreSettings(standin.server.address, read_attempts=3), counter=counter
    ) as store_client:
        assert "503" in str(store_client.get(KEY).failure())
        store_client.swap(KEY, b"v", ABSENT)
    assert counter.count(CallKind.GET) == 3
    assert counter.count(CallKind.SWAP) == 1


@pytest.mark.parametrize("address", ["store.example:8500", "127.0.0.1", "127.0.0.1:0", "1.2.3:80"])
def test_address_must_be_an_ip_address_and_a_port(address: str) -> None:
    with pytest.raises(AddressInvalidError, match="IP address"), open_store(StoreSettings(address)):
        pass


@pytest.mark.parametrize(
    "faults", [StoreFaults(lose_answers=2), StoreFaults(late_writes=2, late_s=0.2)]
)
def test_confirmed_swap_is_applied_once_when_answers_are_lost(
    standin: StoreStandin, store: Store, faults: StoreFaults
) -> None:
    standin.set_faults(faults)
    confirmed = confirmed_swap(store, KEY, b"token-1", ABSENT).unwrap()
    assert confirmed.outcome == SwapOutcome.APPLIED
    assert confirmed.current.value == b"token-1"
    assert standin.stats.applied == 1


def test_confirmed_swap_distinguishes_a_rejected_from_an_overwritten_write(
    standin: StoreStandin, store: Store
) -> None:
    revision = write(store, KEY, b"theirs")
    assert confirmed_swap(store, KEY, b"ours", ABSENT).unwrap().outcome == SwapOutcome.REJECTED

    class Overwriting:
        """Loses the answer to a write and overwrites the key before the next read."""

        def swap(self, key: str, value: bytes, expected: Revision) -> object:
            standin.set_faults(StoreFaults(lose_answers=1))
            result = store.swap(key, value, expected)
            write(store, key, b"theirs again", store.get(key).unwrap().revision)
            return result

        get = staticmethod(store.get)

    confirmed = confirmed_swap(Overwriting(), KEY, b"ours", Revision(revision)).unwrap()
    assert confirmed.outcome == SwapOutcome.OVERWRITTEN
    assert standin.stats.applied == 3


def test_confirmed_swap_times_out_with_an_unknown_outcome(
    standin: StoreStandin, store: Store
) -> None:
    standin.set_faults(StoreFaults(outage=Outage.ERROR))
    error = confirmed_swap(store, KEY, b"v", ABSENT, timeout_s=0.2).failure()
    assert isinstance(error, WriteOutcomeUnknownError)
    assert standin.server.address in str(error)
