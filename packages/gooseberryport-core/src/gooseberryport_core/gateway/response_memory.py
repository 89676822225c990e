"""Memory for responses, from the upstream's first byte until the client's socket has taken it.

Load pattern: many large responses arrive at once at a VM that can hold a few of them, while some
clients read slowly or not at all. When the memory is used up, reading pauses for all responses but
the oldest one whose client can take it, so that each response ends in the end and the memory stays
bounded. Small responses always pass. One client can use only a part of the memory beside the
response that it gets next. A client that reads nothing is disconnected when others wait for its
memory.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from itertools import count

import msgspec

RESPONSE_MEMORY_FRACTION = 1 / 8
"""Fraction of the process's memory that responses may use. The oldest response is read beyond it,
so they use up to 1 + `WRITING_FRACTION` times as much, and one response of the largest size."""

COMBINED_MEMORY_FRACTION = 1 / 3
"""Fraction of the process's memory that responses and other bodies may use together, as long as
responses have `MIN_FRACTION` of theirs. With the process itself they stay below two thirds."""

MIN_FRACTION = 1 / 4
"""Fraction of the memory for responses that they always have."""

WRITING_FRACTION = 1 / 2
"""Fraction of the memory that replies which clients have yet to read may use when it is used up;
beyond it even the oldest response waits."""

READ_BYTES = 65_536
"""Bytes of a response that are read at once, as long as there is memory; bytes."""

SMALL_RESPONSE_BYTES = 16_384
"""Size up to which a response is read even if the memory is used up; bytes."""

CLIENT_FRACTION = 1 / 4
"""Fraction of the memory up to which the responses of one client are read ahead of their turn."""

MAX_UNREAD_BYTES = 262_144
"""Finished replies of one client that it has not read, beyond which no more of its requests are
read or started: the pipelined requests of one connection with 4 KB each; bytes."""

BLOCKED_STALL_S = 2.0
"""Time after which a client that reads nothing is disconnected if unread replies stop all large
responses: shorter than the time after which upstreams cut off a response that is not read;
seconds."""


class SlowClient(msgspec.Struct, frozen=True):
    """A client that was disconnected because it did not read its replies.

    Parameters
    ----------
    address
        Address of the client.
    unread_bytes
        Size of the replies that it has not read; bytes.
    stalled_s
        For how long it has read nothing; seconds.
    open_requests
        Requests without a reply that were discarded too.
    """

    address: str
    unread_bytes: int
    stalled_s: float
    open_requests: int


class HeldResponse:
    """The response to one request of a client, whichever upstream sends it.

    Parameters
    ----------
    client
        The client's connection.
    order
        Number of the request among all requests.
    """

    # Defaults of the class, since most responses are small and never change them.
    num_bytes = 0
    paused = False
    finished = False
    on_paused: Callable[[bool], None] | None = None

    def __init__(self, client: ClientResponses, order: int) -> None:
        self.client = client
        self.order = order

    def add(self, num_bytes: int, *, on_paused: Callable[[bool], None]) -> None:
        """Count bytes that were received, and pause the response if it has to wait.

        Parameters
        ----------
        num_bytes
            Number of bytes.
        on_paused
            Called with whether no more of the response may be read now.
        """
        if self.finished:
            # The client has left, and the send to the upstream is about to be cancelled.
            return
        self.on_paused = on_paused
        self.num_bytes += num_bytes
        self.client.memory.record_received(self, num_bytes)

    def stop_receiving(self) -> None:
        """End the receipt from an upstream, complete or not."""
        self.client.memory.record_stopped(self)

    def settle(self, *, num_bytes: int, finished: bool = False) -> None:
        """Count only the bytes that are kept, as the others were discarded.

        Parameters
        ----------
        num_bytes
            Size of what is kept; bytes.
        finished
            Whether the reply to the client is complete.
        """
        if self.finished:
            return
        self.client.memory.record_settled(self, num_bytes=num_bytes, finished=finished)


class ClientResponses:
    """The responses of one client's connection.

    Parameters
    ----------
    memory
        Memory that they use.
    on_disconnect
        Called when the connection has to be closed.
    poll
        Records how much of the replies was written.

    `address` is that of the client, for the log.
    """

    def __init__(
        self, *, memory: ResponseMemory, on_disconnect: Callable[[], None], poll: Callable[[], None]
    ) -> None:
        self.memory = memory
        self.on_disconnect = on_disconnect
        self.poll = poll
        self.address = ""
        self.responses: deque[HeldResponse] = deque()
        self.waiting_bytes = 0
        self.writing_bytes = 0
        self.total_bytes = 0
        self.progress_at = 0.0
        self._written_bytes = 0

    @property
    def is_full(self) -> bool:
        """Whether so many replies are unread that no more requests are to be taken."""
        return self.waiting_bytes + self.writing_bytes > MAX_UNREAD_BYTES

    @property
    def unread_bytes(self) -> int:
        """Size of the finished replies that the client has not read, waiting ones included."""
        return self.waiting_bytes + self.writing_bytes

    def new_response(self) -> HeldResponse:
        """Return the response to the next request."""
        held = HeldResponse(self, next(self.memory.orders))
        self.responses.append(held)
        return held

    def record_writing(self, *, unsent_bytes: int, written_bytes: int, now: float) -> None:
        """Record what is left to be written to the client's socket.

        Parameters
        ----------
        unsent_bytes
            Bytes of replies that the socket has not taken.
        written_bytes
            Bytes that the socket has taken since the connection was opened.
        now
            Monotonic time; seconds.
        """
        if written_bytes > self._written_bytes or not self.writing_bytes:
            self.progress_at = now
        self._written_bytes = written_bytes
        if unsent_bytes != self.writing_bytes:
            freed = unsent_bytes < self.writing_bytes
            self.memory.record_writing(self, unsent_bytes)
            if freed:
                self.memory.resume()

    def hand_over(self, *, unsent_bytes: int, written_bytes: int, now: float) -> None:
        """Record that the first reply in order is being written; parameters as above."""
        self.memory.record_handed_over(self, self.responses.popleft())
        self.record_writing(unsent_bytes=unsent_bytes, written_bytes=written_bytes, now=now)
        self.memory.resume()

    def hand_over_written(self) -> None:
        """Record that the first reply in order was written, and that none is being written."""
        held = self.responses.popleft()
        if held.num_bytes:
            self.memory.record_handed_over(self, held)
        if self.memory.paused_responses:
            self.memory.resume()

    def stalled_s(self, now: float) -> float:
        """Return for how long the client has read nothing; 0 if it has nothing to read; seconds."""
        return now - self.progress_at if self.writing_bytes else 0.0

    def discard(self) -> None:
        """Discard the responses that are not being written."""
        self.memory.record_discarded(self)

    def close(self) -> None:
        """Discard everything, as the connection is closed."""
        self.memory.record_discarded(self)
        self.memory.record_writing(self, 0)
        self.memory.resume()


class ResponseMemory:
    """Bounds the memory of the responses that a process holds.

    `total_bytes` is the size of all of them, `writing_bytes` that of the replies that clients have
    yet to read, and `paused_responses` the number of those that are not read now.

    Parameters
    ----------
    process_bytes
        Memory of the process; bytes.
    other_bytes
        Returns the size of other bodies that the process holds; bytes.
    """

    def __init__(self, *, process_bytes: int, other_bytes: Callable[[], int] = lambda: 0) -> None:
        self._max_bytes = int(process_bytes * RESPONSE_MEMORY_FRACTION)
        self._min_bytes = int(self._max_bytes * MIN_FRACTION)
        self._combined_bytes = int(process_bytes * COMBINED_MEMORY_FRACTION)
        self._other_bytes = other_bytes
        self.orders = count()
        self.total_bytes = 0
        self.writing_bytes = 0
        self._clients: set[ClientResponses] = set()
        # Responses that are being received and are not small; the others never wait.
        self._large: set[HeldResponse] = set()
        self.paused_responses = 0

    @property
    def max_bytes(self) -> int:
        """Size of the memory, of which other bodies may use a part; bytes."""
        left = self._combined_bytes - self._other_bytes()
        return max(self._min_bytes, min(self._max_bytes, left))

    @property
    def used_up(self) -> bool:
        """Whether responses use all of the memory."""
        return self.total_bytes > self._min_bytes and self.total_bytes > self.max_bytes

    def new_client(
        self, *, on_disconnect: Callable[[], None], poll: Callable[[], None]
    ) -> ClientResponses:
        """Return the responses of a new connection; the parameters are those of the class."""
        return ClientResponses(memory=self, on_disconnect=on_disconnect, poll=poll)

    def check(self, *, now: float, idle_timeout_s: float) -> list[SlowClient]:
        """Disconnect clients that read nothing while others wait, and return them.

        Called several times a second, since the progress of writing is seen only then.

        Parameters
        ----------
        now
            Monotonic time; seconds.
        idle_timeout_s
            Time after which a client that reads nothing may be disconnected; seconds.
        """
        for client in list(self._clients):
            client.poll()
        self.resume()
        disconnected: list[SlowClient] = []
        if not self.used_up:
            return disconnected
        for client in sorted(self._clients, key=lambda client: client.progress_at):
            if not self._is_needed_by_others(client):
                continue
            blocked = self._is_blocked()
            limit_s = min(idle_timeout_s, BLOCKED_STALL_S) if blocked else idle_timeout_s
            if client.stalled_s(now) >= limit_s:
                disconnected.append(
                    SlowClient(
                        address=client.address,
                        unread_bytes=client.unread_bytes,
                        stalled_s=client.stalled_s(now),
                        open_requests=len(client.responses),
                    )
                )
                client.on_disconnect()
                client.close()
        return disconnected

    # Called by responses and clients.

    def record_received(self, held: HeldResponse, num_bytes: int) -> None:
        """Count bytes of a response, and pause it if it has to wait."""
        self.total_bytes += num_bytes
        held.client.total_bytes += num_bytes
        if held.num_bytes <= SMALL_RESPONSE_BYTES:
            return
        self._large.add(held)
        if not held.paused and self._must_wait(held):
            held.paused = True
            self.paused_responses += 1
            if held.on_paused is not None:
                held.on_paused(True)

    def record_stopped(self, held: HeldResponse) -> None:
        """Let a response wait no longer, since nothing more of it is received."""
        self._large.discard(held)
        if held.paused:
            self._read_on(held)

    def record_settled(self, held: HeldResponse, *, num_bytes: int, finished: bool) -> None:
        """Count only what is kept of a response."""
        change = num_bytes - held.num_bytes
        held.num_bytes = num_bytes
        self.total_bytes += change
        held.client.total_bytes += change
        if finished:
            held.finished = True
            held.client.waiting_bytes += num_bytes
        if change < 0:
            self.resume()

    def record_handed_over(self, client: ClientResponses, held: HeldResponse) -> None:
        """Stop counting a reply apart from the others that are being written."""
        if held.finished:
            client.waiting_bytes -= held.num_bytes
        held.finished = True
        client.total_bytes -= held.num_bytes
        self.total_bytes -= held.num_bytes

    def record_writing(self, client: ClientResponses, unsent_bytes: int) -> None:
        """Count what is left to be written to a client."""
        change = unsent_bytes - client.writing_bytes
        client.writing_bytes = unsent_bytes
        client.total_bytes += change
        self.writing_bytes += change
        self.total_bytes += change
        if unsent_bytes:
            self._clients.add(client)
        else:
            self._clients.discard(client)

    def record_discarded(self, client: ClientResponses) -> None:
        """Stop counting the responses of a client that are not being written."""
        for held in client.responses:
            self.record_stopped(held)
            self.total_bytes -= held.num_bytes
            client.total_bytes -= held.num_bytes
            held.num_bytes = 0
            held.finished = True
        client.responses.clear()
        client.waiting_bytes = 0
        self.resume()

    def resume(self) -> None:
        """Read on with responses that need not wait any longer, oldest first."""
        if not self.paused_responses:
            return
        if self.used_up:
            first = self._first()
            if first is not None and first.paused and not self._is_blocked():
                self._read_on(first)
            return
        room = self.max_bytes - self.total_bytes
        for held in sorted(self._large, key=lambda held: held.order):
            if held.paused and not self._exceeds_share(held):
                self._read_on(held)
                room -= READ_BYTES
                if room <= 0:
                    return

    def _read_on(self, held: HeldResponse) -> None:
        held.paused = False
        self.paused_responses -= 1
        if held.on_paused is not None:
            held.on_paused(False)

    def _must_wait(self, held: HeldResponse) -> bool:
        if not self.used_up:
            return self._exceeds_share(held)
        return self._is_blocked() or held is not self._first()

    def _exceeds_share(self, held: HeldResponse) -> bool:
        """Return whether a response is ahead of its turn, and its client has much already."""
        share = self.max_bytes * CLIENT_FRACTION
        return held.client.total_bytes > share and not self._is_next(held)

    def _first(self) -> HeldResponse | None:
        """Return the oldest response that its client takes next and can take now, or None."""
        ready = (held for held in self._large if self._is_next(held))
        return min(ready, key=lambda held: held.order, default=None)

    def _is_next(self, held: HeldResponse) -> bool:
        client = held.client
        return client.responses[0] is held and client.writing_bytes <= MAX_UNREAD_BYTES

    def _is_blocked(self) -> bool:
        """Return whether replies that are not read stop even the oldest response."""
        return self.used_up and self.writing_bytes > self.max_bytes * WRITING_FRACTION

    def _is_needed_by_others(self, client: ClientResponses) -> bool:
        """Return whether others wait for the memory, or unread replies alone exceed it."""
        if not self.used_up:
            return False
        return self.writing_bytes > self.max_bytes or any(
            held.paused and held.client is not client for held in self._large
        )
