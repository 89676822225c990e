"""UDP datagrams between daemons."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from gooseberryport_core.effects import SendMessage
from gooseberryport_core.events import MessageArrived
from gooseberryport_core.messages import MAX_DATAGRAM_BYTES, decode_message, encode_message
from gooseberryport_daemon.settings import Endpoint, parse_endpoint


class Datagrams(asyncio.DatagramProtocol):
    """Send and receive the messages of the control protocols.

    Parameters
    ----------
    on_message
        Called with each received message.
    on_refused
        Called with the sender of a datagram that is not a valid message.
    on_too_long
        Called with a message that exceeds `MAX_DATAGRAM_BYTES`, and its length in bytes.
    """

    def __init__(
        self,
        *,
        on_message: Callable[[MessageArrived], None],
        on_refused: Callable[[str], None],
        on_too_long: Callable[[SendMessage, int], None],
    ) -> None:
        self._on_message = on_message
        self._on_refused = on_refused
        self._on_too_long = on_too_long
        self._transport: asyncio.DatagramTransport | None = None
        self._sent_bytes = 0
        self._sent_count = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode one datagram and pass its message on."""
        sender = str(Endpoint(*addr[:2]))
        message = decode_message(data) if len(data) <= MAX_DATAGRAM_BYTES else None
        if message is None:
            self._on_refused(sender)
            return
        self._on_message(MessageArrived(message, sender))

    def error_received(self, exc: Exception) -> None:
        """Ignore that a peer is unreachable: membership relies on missing heartbeats instead."""

    def send(self, effect: SendMessage) -> None:
        """Send one message."""
        data = encode_message(effect.message)
        if len(data) > MAX_DATAGRAM_BYTES:
            self._on_too_long(effect, len(data))
            return
        endpoint = parse_endpoint(effect.address, field="address")
        if self._transport is not None and not self._transport.is_closing():
            self._sent_count += 1
            self._sent_bytes += len(data)
            self._transport.sendto(data, (endpoint.ip, endpoint.port))

    def take_sent_count(self) -> int:
        """Return the number of messages sent since the last call."""
        count, self._sent_count = self._sent_count, 0
        return count

    def take_sent_bytes(self) -> int:
        """Return the bytes of messages sent since the last call."""
        count, self._sent_bytes = self._sent_bytes, 0
        return count

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
