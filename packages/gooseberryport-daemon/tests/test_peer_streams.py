import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest
from grpclib.client import Channel
from grpclib.exceptions import GRPCError
from grpclib.server import Server, Stream

from gooseberryport_core.effects import SendTicket
from gooseberryport_core.events import (
    AttemptEnded,
    BodyArrived,
    Event,
    PeerUnreachable,
    TicketArrived,
    TicketCancelled,
    TicketReplied,
    UpstreamAttemptEnded,
)
from gooseberryport_core.messages import Granted, Refused, Ticket
from gooseberryport_core.types import AttemptOutcome, PoolId, RefusalReason
from gooseberryport_daemon import _peer_pb2 as pb
from gooseberryport_daemon._http_messages import AnswerHead, CallerRequest, RequestHead
from gooseberryport_daemon._pacing import ReserveLink, unlimited
from gooseberryport_daemon._peer_client import AnswerCallbacks, PeerClient
from gooseberryport_daemon._peer_grpc import PeerBase, PeerStub
from gooseberryport_daemon._peer_server import PeerServer
from gooseberryport_daemon._peer_wire import (
    AttemptEnd,
    add_end,
    answer_frames,
    reply_frame,
    request_frames,
    ticket_frames,
)
from gooseberryport_daemon._sockets import bind_peer_port
from gooseberryport_daemon.settings import Endpoint
from gooseberryport_standins.streams import open_stream, start_stream_server
from gooseberryport_standins.unreachable import drop_received

WAIT_TIMEOUT_S = 10.0
BODY = b"dress" * 30_000
HEAD = RequestHead("POST", "/dressing-registry/x", (("X-Tool", "diamond"),), "r-1")
REQUEST = CallerRequest("r-1", "dressing-registry", "10.0.0.1", HEAD, BODY, 2.0, "")
GRANTED = reply_frame(Granted("t-1", "up-1"))
UNKNOWN = AttemptEnded("t-1", AttemptOutcome.UNKNOWN, 0, 0)
UNREACHABLE = PeerUnreachable("vm-2", "t-1")

StreamHandler = Callable[[Stream], Awaitable[None]]


def make_ticket(body_bytes: int = len(BODY)) -> Ticket:
    pool = PoolId("dressing-registry", "bern-a")
    return Ticket("t-1", pool, 1, 2.0, False, True, body_bytes, 4_096, "bern")


class Owner(PeerBase):
    """An owner whose side of the stream is a test's handler."""

    def __init__(self, handler: StreamHandler) -> None:
        self._handler = handler
        self.cancelled = asyncio.Event()
        self.stream: Stream | None = None

    async def Forward(self, stream: Stream) -> None:  # noqa: N802
        self.stream = stream
        try:
            await self._handler(stream)
        except BaseException:
            self.cancelled.set()
            raise


class Entry:
    """An entry daemon's peer client that records its events and its answer."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.answer = b""
        self.broken = 0
        self.inline = False
        self.ended = asyncio.Event()
        self.client = PeerClient(
            vm="vm-1",
            handle_event=self.handle_event,
            callbacks=AnswerCallbacks(self.collect, self.on_broken, self.on_broken),
        )

    def handle_event(self, event: Event) -> None:
        self.events.append(event)
        if isinstance(event, TicketReplied) and isinstance(event.reply, Granted):
            self.client.send_granted_request(event.reply.ticket_id, REQUEST)
            return
        self.ended.set()

    async def collect(self, ticket_id: str, head: AnswerHead | None, chunk: bytes) -> None:
        self.answer += chunk

    def on_broken(self, ticket_id: str, cause: str = "", sent: bool = False) -> None:
        self.broken += 1

    async def offer(self, address: str, *, inline: bool = False) -> None:
        effect = SendTicket("vm-2", address, make_ticket(), inline, "r-1")
        self.client.send_ticket(effect, REQUEST if inline else None)
        await asyncio.wait_for(self.ended.wait(), WAIT_TIMEOUT_S)


@asynccontextmanager
async def open_owner(owner: PeerBase, sock: socket.socket | None = None) -> AsyncIterator[str]:
    server = Server([owner])
    await (server.start(sock=sock) if sock else server.start("127.0.0.1", 0))
    host, port = server._server.sockets[0].getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        server.close()
        await server.wait_closed()


async def cancel_at_once(stream: Stream) -> None:
    await stream.recv_message()
    await stream.cancel()


async def end_without_reply(stream: Stream) -> None:
    await stream.recv_message()


async def grant_and_cancel(stream: Stream) -> None:
    await stream.recv_message()
    await stream.send_message(GRANTED)
    await stream.recv_message()
    await stream.cancel()


async def grant_and_end(stream: Stream) -> None:
    await stream.recv_message()
    await stream.send_message(GRANTED)
    await stream.recv_message()


async def send_half_answer(stream: Stream) -> None:
    await stream.recv_message()
    await stream.send_message(GRANTED)
    frame = next(answer_frames(AnswerHead(200, "OK", ()), b"half"))
    add_end(frame, AttemptEnd(AttemptOutcome.ANSWERED, 200, 8))
    await stream.send_message(frame)


async def send_invalid_status(stream: Stream) -> None:
    # Failure: an owner of an earlier version passes on an upstream's status that is none.
    await stream.recv_message()
    await stream.send_message(GRANTED)
    frame = next(answer_frames(AnswerHead(600, "Odd", ()), b"odd"))
    add_end(frame, AttemptEnd(AttemptOutcome.ANSWERED, 600, 3))
    await stream.send_message(frame)


async def send_invalid_reply(stream: Stream) -> None:
    await stream.recv_message()
    await stream.send_message(pb.OwnerFrame(reply=b"nonsense"))


@pytest.mark.parametrize(
    ("handler", "inline", "last"),
    [
        (cancel_at_once, False, UNREACHABLE),
        (cancel_at_once, True, UNKNOWN),
        (end_without_reply, False, UNREACHABLE),
        (end_without_reply, True, UNKNOWN),
        (send_invalid_reply, False, UNREACHABLE),
        (send_invalid_reply, True, UNKNOWN),
        (grant_and_cancel, False, UNKNOWN),
        (grant_and_end, False, UNKNOWN),
        (send_half_answer, False, AttemptEnded("t-1", AttemptOutcome.UNKNOWN, 200, 8)),
        (send_invalid_status, False, UNKNOWN),
    ],
)
def test_broken_stream_is_not_run_only_if_no_body_was_sent(
    handler: StreamHandler, inline: bool, last: Event
) -> None:
    async def run() -> None:
        entry = Entry()
        async with open_owner(Owner(handler)) as address:
            await entry.offer(address, inline=inline)
            await entry.client.close()
        ends = [event for event in entry.events if not isinstance(event, TicketReplied)]
        assert ends == [last]
        assert entry.broken == 1

    asyncio.run(run())


@pytest.mark.parametrize("inline", [False, True])
def test_owner_that_does_not_listen_is_unreachable(inline: bool) -> None:
    async def run() -> None:
        entry = Entry()
        async with open_owner(Owner(cancel_at_once)) as address:
            pass
        await entry.offer(address, inline=inline)
        assert entry.events == [UNREACHABLE]
        await entry.client.close()

    asyncio.run(run())


def test_cancelled_ticket_resets_its_stream() -> None:
    arrived = asyncio.Event()

    async def wait(stream: Stream) -> None:
        await stream.recv_message()
        arrived.set()
        await asyncio.Event().wait()

    async def run() -> None:
        entry = Entry()
        owner = Owner(wait)
        async with open_owner(owner) as address:
            effect = SendTicket("vm-2", address, make_ticket(), False, "r-1")
            entry.client.send_ticket(effect, None)
            await asyncio.wait_for(arrived.wait(), WAIT_TIMEOUT_S)
            entry.client.cancel("t-1")
            await asyncio.wait_for(owner.cancelled.wait(), WAIT_TIMEOUT_S)
            await entry.client.close()
        assert entry.events == []

    asyncio.run(run())


@asynccontextmanager
async def open_relay(address: str, running: asyncio.Event) -> AsyncIterator[str]:
    """Relay to an owner, and hold all bytes while `running` is not set, as a paused process does.

    The connections stay open, and the kernel acknowledges what arrives on them.
    """
    host, _, port = address.rpartition(":")
    tasks: set[asyncio.Task[None]] = set()

    async def pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65_536):
            await running.wait()
            writer.write(data)

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        async with open_stream(int(port), host=host) as (owner_reader, owner_writer):
            pumps = {
                asyncio.create_task(pump(reader, owner_writer)),
                asyncio.create_task(pump(owner_reader, writer)),
            }
            tasks.update(pumps)
            await asyncio.wait(pumps)

    server = await start_stream_server(accept)
    try:
        relay_host, relay_port = server.sockets[0].getsockname()
        yield f"{relay_host}:{relay_port}"
    finally:
        server.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


PAUSE_S = 3.0
"""Longer than the pings between daemons and their timeout once took; seconds."""


def test_pause_of_the_other_daemon_ends_no_request_at_work() -> None:
    # Failure: a process that does not run for 2 s has all requests on its connections given up.
    async def run() -> None:
        running = asyncio.Event()
        running.set()

        async def answer_after_a_pause(stream: Stream) -> None:
            await stream.recv_message()
            await stream.send_message(GRANTED)
            while not (await stream.recv_message()).last:
                pass
            running.clear()
            await asyncio.sleep(PAUSE_S)
            running.set()
            frame = next(answer_frames(AnswerHead(200, "OK", ()), b"done"))
            add_end(frame, AttemptEnd(AttemptOutcome.ANSWERED, 200, 4))
            await stream.send_message(frame)

        entry = Entry()
        owner = Owner(answer_after_a_pause)
        with bind_peer_port(Endpoint("127.0.0.1", 0)) as sockets:
            opened = open_owner(owner, sockets.stream)
            async with opened as address, open_relay(address, running) as relay:
                await entry.offer(relay)
                await entry.client.close()
        assert entry.answer == b"done"
        assert not owner.cancelled.is_set()

    asyncio.run(run())


@pytest.mark.parametrize("dark", ["owner", "entry"])
def test_daemon_whose_host_loses_power_is_detected(dark: str) -> None:
    # Failure: nobody notices until each request's deadline, or an upstream works on for nobody.
    async def run() -> None:
        entry = Entry()
        arrived = asyncio.Event()

        async def wait(stream: Stream) -> None:
            await stream.recv_message()
            arrived.set()
            await asyncio.Event().wait()

        owner = Owner(wait)
        with bind_peer_port(Endpoint("127.0.0.1", 0)) as sockets:
            async with open_owner(owner, sockets.stream) as address:
                offer = asyncio.create_task(entry.offer(address))
                await arrived.wait()
                (channel,) = entry.client._channels.values()
                stream = channel._protocol.connection if dark == "entry" else owner.stream._stream
                drop_received(stream._transport.get_extra_info("socket"))
                ended = entry.ended if dark == "owner" else owner.cancelled
                await asyncio.wait_for(ended.wait(), WAIT_TIMEOUT_S)
                offer.cancel()
                await entry.client.close()
        if dark == "owner":
            assert entry.events == [UNREACHABLE]

    asyncio.run(run())


class ServerHarness:
    """An owner's peer server whose node sends a fixed reply and answers at once."""

    def __init__(self, reply: Granted | Refused | None, reserve: ReserveLink = unlimited) -> None:
        self.events: list[Event] = []
        self.faults: list[str] = []
        self.changed = asyncio.Event()
        self._reply = reply
        self.server = PeerServer(
            handle_event=self.handle_event, on_refused=self.faults.append, reserve=reserve
        )

    def handle_event(self, event: Event) -> None:
        self.events.append(event)
        self.changed.set()
        if isinstance(event, TicketArrived) and self._reply is not None:
            self.server.reply(self._reply)
        if isinstance(event, BodyArrived):
            asyncio.get_running_loop().create_task(self.answer())

    async def answer(self) -> None:
        await self.server.write_answer("t-1", AnswerHead(200, "OK", ()), BODY)
        finished = UpstreamAttemptEnded("t-1", AttemptOutcome.ANSWERED, 200, len(BODY), 0.1)
        self.server.finish(finished)

    async def wait_for_event(self, kind: type[Event]) -> None:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not any(isinstance(event, kind) for event in self.events):
                self.changed.clear()
                await self.changed.wait()


@pytest.mark.parametrize("inline", [False, True])
def test_request_and_answer_arrive_complete(inline: bool) -> None:
    async def run() -> None:
        entry = Entry()
        harness = ServerHarness(Granted("t-1", "up-1"))
        async with open_owner(harness.server) as address:
            await entry.offer(address, inline=inline)
            await entry.client.close()
        assert entry.answer == BODY
        assert entry.events[-1] == AttemptEnded("t-1", AttemptOutcome.ANSWERED, 200, len(BODY))
        assert [type(event) for event in harness.events] == [TicketArrived, BodyArrived]

    asyncio.run(run())


def test_refused_ticket_with_inline_body_is_not_run() -> None:
    async def run() -> None:
        entry = Entry()
        refused = Refused("t-1", RefusalReason.QUEUE_FULL, 0.5)
        harness = ServerHarness(refused)
        async with open_owner(harness.server) as address:
            await entry.offer(address, inline=True)
            await entry.client.close()
        assert entry.events == [TicketReplied("vm-2", refused)]
        assert [type(event) for event in harness.events] == [TicketArrived]

    asyncio.run(run())


def test_stream_that_breaks_before_the_body_is_complete_runs_nothing() -> None:
    async def run() -> None:
        harness = ServerHarness(Granted("t-1", "up-1"))
        async with open_owner(harness.server) as address:
            channel = Channel(*address.split(":"))
            async with PeerStub(channel).Forward.open() as stream:
                await stream.send_message(next(ticket_frames("vm-1", make_ticket())))
                await stream.recv_message()
                await stream.send_message(next(request_frames(HEAD, BODY)))
                await stream.cancel()
            await harness.wait_for_event(TicketCancelled)
            channel.close()
        assert [type(event) for event in harness.events] == [TicketArrived, TicketCancelled]

    asyncio.run(run())


@pytest.mark.parametrize("declared", [len(BODY) - 1, len(BODY) + 1])
def test_body_of_another_length_than_declared_runs_nothing(declared: int) -> None:
    async def run() -> None:
        harness = ServerHarness(Granted("t-1", "up-1"))
        async with open_owner(harness.server) as address:
            channel = Channel(*address.split(":"))
            with pytest.raises(GRPCError):
                async with PeerStub(channel).Forward.open() as stream:
                    parts = (HEAD, BODY)
                    for frame in ticket_frames("vm-1", make_ticket(declared), parts):
                        await stream.send_message(frame)
                    await stream.end()
                    assert await stream.recv_message() is None
            channel.close()
        assert harness.events == []
        assert len(harness.faults) == 1

    asyncio.run(run())


def test_answer_waits_for_link_capacity_and_counts_every_byte() -> None:
    asked: list[int] = []

    def reserve(ticket: Ticket, num_bytes: int) -> float | None:
        asked.append(num_bytes)
        return None if len(asked) % 3 else 0.01

    async def run() -> None:
        entry = Entry()
        harness = ServerHarness(Granted("t-1", "up-1"), reserve)
        async with open_owner(harness.server) as address:
            await entry.offer(address, inline=True)
            await entry.client.close()
        assert entry.events[-1] == AttemptEnded("t-1", AttemptOutcome.ANSWERED, 200, len(BODY))
        assert sum(asked[2::3]) > len(BODY)

    asyncio.run(run())


def test_answer_without_link_capacity_ends_as_unknown_at_its_deadline() -> None:
    async def run() -> None:
        entry = Entry()
        harness = ServerHarness(Granted("t-1", "up-1"), lambda ticket, num_bytes: None)
        async with open_owner(harness.server) as address:
            await entry.offer(address, inline=True)
            await entry.client.close()
        assert entry.events[-1] == AttemptEnded("t-1", AttemptOutcome.UNKNOWN, 0, 0)

    asyncio.run(run())
