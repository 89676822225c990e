import asyncio
import socket

import pytest

from gooseberryport_daemon._sockets import bind_peer_port
from gooseberryport_daemon.errors import AddressInUseError
from gooseberryport_daemon.settings import Endpoint
from gooseberryport_standins.streams import open_stream

ANY = Endpoint("127.0.0.1", 0)


def test_peer_port_is_the_same_for_tcp_and_udp_and_may_be_in_use() -> None:
    with bind_peer_port(ANY) as sockets:
        number = sockets.address.port
        assert sockets.stream.getsockname()[1] == sockets.datagram.getsockname()[1] == number
        fault = f"127.0.0.1:{number}.*Choose a free port"
        with pytest.raises(AddressInUseError, match=fault), bind_peer_port(sockets.address):
            pass


def test_peer_connections_set_tcp_nodelay() -> None:
    async def run() -> None:
        accepted: asyncio.Future[int] = asyncio.get_running_loop().create_future()

        def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            sock = writer.get_extra_info("socket")
            accepted.set_result(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
            writer.close()

        with bind_peer_port(ANY) as sockets:
            server = await asyncio.start_server(talk, sock=sockets.stream)
            async with open_stream(sockets.address.port):
                assert await accepted == 1
            server.close()

    asyncio.run(run())
