"""The peer port: the same port number for TCP and UDP."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import contextmanager

import msgspec

from gooseberryport_daemon._liveness import probe_peer
from gooseberryport_daemon.errors import AddressInUseError
from gooseberryport_daemon.settings import Endpoint

BIND_ATTEMPTS = 20
"""Attempts to find a port that is free for both TCP and UDP, if the settings name port 0."""


class PeerSockets(msgspec.Struct, frozen=True):
    """The bound TCP and UDP sockets and their common address."""

    stream: socket.socket
    datagram: socket.socket
    address: Endpoint


@contextmanager
def bind_peer_port(listen: Endpoint) -> Iterator[PeerSockets]:
    """Bind the peer port; raises `AddressInUseError`."""
    sockets = _bind(listen)
    try:
        yield sockets
    finally:
        sockets.stream.close()
        sockets.datagram.close()


def _bind(listen: Endpoint) -> PeerSockets:
    attempts = 1 if listen.port else BIND_ATTEMPTS
    for attempt in range(1, attempts + 1):
        try:
            return _bind_once(listen)
        except OSError as exc:
            if attempt == attempts:
                raise AddressInUseError(subject=str(listen), detail=str(exc)) from exc
    raise AssertionError("unreachable")


def _bind_once(listen: Endpoint) -> PeerSockets:
    family = socket.AF_INET6 if ":" in listen.ip else socket.AF_INET
    # asyncio sets TCP_NODELAY only on sockets that are created with an explicit protocol.
    stream = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    datagram = socket.socket(family, socket.SOCK_DGRAM)
    try:
        probe_peer(stream)
        if listen.port:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        stream.bind((listen.ip, listen.port))
        port = stream.getsockname()[1]
        datagram.bind((listen.ip, port))
    except OSError:
        stream.close()
        datagram.close()
        raise
    stream.setblocking(False)
    datagram.setblocking(False)
    return PeerSockets(stream, datagram, Endpoint(listen.ip, port))
