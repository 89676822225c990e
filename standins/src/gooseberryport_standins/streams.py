"""Stream servers and clients that close their streams before their event loop ends."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress

LOOPBACK = "127.0.0.1"

StreamHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def start_stream_server(handler: StreamHandler, *, port: int = 0) -> asyncio.Server:
    """Serve connections on loopback; each is closed when its handler ends or is cancelled.

    Parameters
    ----------
    handler
        Serves one connection. The event loop cancels it at its end.
    port
        Port to listen on; 0 for any free one.

    Raises
    ------
    OSError
        The port is in use.
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        async with _closing(writer):
            await handler(reader, writer)

    return await asyncio.start_server(serve, LOOPBACK, port)


@asynccontextmanager
async def open_stream(
    port: int, *, host: str = LOOPBACK
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Open a connection, and close it when the block ends.

    Raises
    ------
    OSError
        The connection could not be opened.
    """
    reader, writer = await asyncio.open_connection(host, port)
    async with _closing(writer):
        yield reader, writer


@asynccontextmanager
async def _closing(writer: asyncio.StreamWriter) -> AsyncIterator[None]:
    try:
        yield
    except BaseException:
        # Bytes that the other side does not read would delay the end.
        writer.transport.abort()
        raise
    finally:
        writer.close()
        with suppress(ConnectionError):
            await writer.wait_closed()
