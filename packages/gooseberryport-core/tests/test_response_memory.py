"""Memory of responses: what a process holds at most, and that each response is received."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberryport_core.gateway.response_memory import (
    BLOCKED_STALL_S,
    CLIENT_FRACTION,
    READ_BYTES,
    SMALL_RESPONSE_BYTES,
    WRITING_FRACTION,
    ResponseMemory,
)

PROCESS_BYTES = 8_000_000
MAX_BYTES = 1_000_000
MAX_RESPONSE_BYTES = 700_000


class FakeClient:
    """A client's connection: requests in order, and replies that are written or wait."""

    def __init__(self, memory):
        self.responses = memory.new_client(on_disconnect=self.close, poll=lambda: None)
        self.open = []
        self.unsent = self.accepted = 0
        self.closed = False

    def request(self, size):
        held = self.responses.new_response()
        self.open.append([held, size, size])
        return held

    def receive(self, entry, num_bytes, now=0.0):
        entry[1] -= num_bytes
        entry[0].add(num_bytes, on_paused=lambda _: None)
        if not entry[1]:
            entry[0].stop_receiving()
            entry[0].settle(num_bytes=entry[2], finished=True)
            self.flush(now)

    def flush(self, now=0.0):
        while self.open and not self.open[0][1]:
            size = self.open.pop(0)[2]
            self.unsent += size
            self.accepted += size
            self.responses.hand_over(
                unsent_bytes=self.unsent, written_bytes=self.accepted - self.unsent, now=now
            )

    def read(self, num_bytes, now=0.0):
        self.unsent -= min(num_bytes, self.unsent)
        self.responses.record_writing(
            unsent_bytes=self.unsent, written_bytes=self.accepted - self.unsent, now=now
        )

    def close(self):
        self.closed = True


def held_bytes(clients):
    return sum(
        client.unsent + sum(entry[2] - entry[1] for entry in client.open) for client in clients
    )


# Guards against responses that together exceed the memory, and against ones that wait forever.
@given(
    sizes=st.lists(
        st.lists(st.integers(1, MAX_RESPONSE_BYTES), max_size=4), min_size=1, max_size=6
    ),
    picks=st.lists(st.integers(0, 1_000), min_size=1, max_size=300),
)
def test_responses_stay_within_the_memory_and_each_one_is_received(sizes, picks):
    memory = ResponseMemory(process_bytes=PROCESS_BYTES)
    clients = [FakeClient(memory) for _ in sizes]
    for client, of_client in zip(clients, sizes, strict=True):
        for size in of_client:
            client.request(size)
    responses = sum(map(len, sizes))
    turn = 0
    while any(client.open or client.unsent for client in clients):
        steps = [
            (client, entry)
            for client in clients
            for entry in client.open
            if entry[1] and not entry[0].paused
        ] + [(client, None) for client in clients if client.unsent]
        # Something is received or read, whoever reads or sends first.
        assert steps
        client, entry = steps[picks[turn % len(picks)] % len(steps)]
        turn += 1
        if entry is None:
            client.read(200_000)
        else:
            client.receive(entry, min(READ_BYTES, entry[1]))
        assert memory.total_bytes == held_bytes(clients)
        excess = responses * (SMALL_RESPONSE_BYTES + READ_BYTES)
        most = MAX_BYTES * (1 + WRITING_FRACTION) + MAX_RESPONSE_BYTES + excess
        assert memory.total_bytes <= most
    assert memory.total_bytes == memory.writing_bytes == memory.paused_responses == 0


def fill(memory, *, clients, size):
    """Return clients that have a reply each and read nothing since the given times."""
    stalled = [FakeClient(memory) for _ in range(clients)]
    for number, client in enumerate(stalled):
        client.request(size)
        client.receive(client.open[0], size, now=float(number))
    return stalled


# Guards against one client that requests much and thereby stops the responses of others.
def test_client_receives_only_its_share_ahead_of_its_turn():
    memory = ResponseMemory(process_bytes=PROCESS_BYTES)
    greedy, other = FakeClient(memory), FakeClient(memory)
    for _ in range(10):
        greedy.request(MAX_RESPONSE_BYTES)
    for entry in greedy.open[1:]:
        while entry[1] > READ_BYTES and not entry[0].paused:
            greedy.receive(entry, READ_BYTES)
    assert memory.total_bytes < MAX_BYTES * CLIENT_FRACTION + 9 * READ_BYTES < MAX_BYTES
    other.request(MAX_RESPONSE_BYTES)
    other.receive(other.open[0], READ_BYTES)
    assert not other.open[0][0].paused
    greedy.receive(greedy.open[0], READ_BYTES)
    assert not greedy.open[0][0].paused


# Guards against a client that does not read, gets reply after reply, and uses all of the memory.
def test_client_that_does_not_read_gets_no_turn():
    memory = ResponseMemory(process_bytes=PROCESS_BYTES)
    (client,) = fill(memory, clients=1, size=MAX_RESPONSE_BYTES)
    client.request(MAX_RESPONSE_BYTES)
    client.receive(client.open[0], READ_BYTES)
    assert client.open[0][0].paused
    for _ in range(10):
        client.request(MAX_RESPONSE_BYTES)
        client.receive(client.open[-1], READ_BYTES)
    # It has used up the memory, and only responses of its own wait.
    assert memory.used_up
    assert memory.check(now=100.0, idle_timeout_s=15.0) == []
    client.read(MAX_RESPONSE_BYTES)
    assert not client.open[0][0].paused


# Guards against clients that are disconnected while nobody needs their memory, or too early.
def test_clients_that_read_nothing_are_disconnected_if_others_wait_longest_stalled_first():
    memory = ResponseMemory(process_bytes=PROCESS_BYTES)
    stalled = fill(memory, clients=2, size=230_000)
    assert memory.check(now=100.0, idle_timeout_s=15.0) == []
    one, two = FakeClient(memory), FakeClient(memory)
    for client in (one, two):
        client.request(MAX_RESPONSE_BYTES)
    while not (one.open[0][0].paused or two.open[0][0].paused):
        for client in (one, two):
            client.receive(client.open[0], READ_BYTES)
    assert not one.open[0][0].paused and two.open[0][0].paused
    assert memory.check(now=14.9, idle_timeout_s=15.0) == []
    (slow,) = memory.check(now=17.0, idle_timeout_s=15.0)
    assert (slow.unread_bytes, slow.stalled_s) == (230_000, 17.0)
    assert [client.closed for client in stalled] == [True, False]
    # Its memory is sufficient for the response that waited.
    assert not two.open[0][0].paused
    assert memory.check(now=30.0, idle_timeout_s=15.0) == []


# Guards against clients that stop all large responses for as long as a whole idle timeout.
def test_clients_whose_unread_replies_stop_all_others_are_disconnected_early():
    memory = ResponseMemory(process_bytes=PROCESS_BYTES)
    stalled = fill(memory, clients=3, size=400_000)
    other = FakeClient(memory)
    other.request(MAX_RESPONSE_BYTES)
    other.receive(other.open[0], READ_BYTES)
    assert other.open[0][0].paused
    stalled[0].read(1, now=2.0)
    assert memory.check(now=1.0 + BLOCKED_STALL_S - 0.1, idle_timeout_s=15.0) == []
    assert len(memory.check(now=1.0 + BLOCKED_STALL_S, idle_timeout_s=15.0)) == 1
    assert [client.closed for client in stalled] == [False, True, False]
    assert not other.open[0][0].paused


# Guards against uploads and responses that together exceed the memory of the process.
@pytest.mark.parametrize(
    ("other", "expected"), [(0, 1_000_000), (2_000_000, 666_666), (9_000_000, 250_000)]
)
def test_other_bodies_reduce_the_memory_for_responses(other, expected):
    memory = ResponseMemory(process_bytes=PROCESS_BYTES, other_bytes=lambda: other)
    assert memory.max_bytes == expected


# Guards against memory that stays counted after its client has left or its send was cancelled.
def test_client_that_leaves_frees_its_memory():
    memory = ResponseMemory(process_bytes=PROCESS_BYTES)
    (leaving,) = fill(memory, clients=1, size=600_000)
    other = FakeClient(memory)
    for client in (leaving, other):
        client.request(MAX_RESPONSE_BYTES)
        for _ in range(6):
            client.receive(client.open[0], READ_BYTES)
    held = leaving.open[0][0]
    leaving.responses.close()
    assert not held.paused
    held.add(READ_BYTES, on_paused=lambda _: None)
    held.settle(num_bytes=0)
    held.stop_receiving()
    assert memory.total_bytes == 6 * READ_BYTES
    other.responses.close()
    assert memory.total_bytes == memory.paused_responses == 0
