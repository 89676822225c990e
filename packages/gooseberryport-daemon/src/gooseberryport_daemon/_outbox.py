"""Queue of the frames to be sent on one stream."""

from __future__ import annotations

import asyncio
from collections import deque

from gooseberryport_daemon import _peer_pb2 as pb
from gooseberryport_daemon._peer_wire import AttemptEnd, add_end

MAX_QUEUED_FRAMES = 4
"""Number of queued frames from which the writer of an answer must wait."""


class Outbox:
    """Queue the frames of one stream; used on the loop only."""

    def __init__(self) -> None:
        self._frames: deque[pb.OwnerFrame] = deque()
        self._ready = asyncio.Event()
        self._has_room = asyncio.Event()
        self._has_room.set()
        self._closed = False
        self._attached_reply: pb.OwnerFrame | None = None

    def add(self, frame: pb.OwnerFrame) -> None:
        """Add a frame."""
        self._frames.append(frame)
        self._ready.set()
        if len(self._frames) >= MAX_QUEUED_FRAMES:
            self._has_room.clear()

    def add_end(self, end: AttemptEnd) -> None:
        """Add the end of the stream, in the last frame if that is still queued."""
        if not self._frames:
            self.add(pb.OwnerFrame())
        add_end(self._frames[-1], end)

    def attach_reply(self, reply: pb.OwnerFrame) -> None:
        """Attach a reply that was already dequeued to the next frame to be sent."""
        self._attached_reply = reply

    async def wait_for_room(self) -> None:
        """Wait until fewer than `MAX_QUEUED_FRAMES` are queued; returns at once after `close`."""
        if not self._closed:
            await self._has_room.wait()

    async def next(self) -> pb.OwnerFrame:
        """Wait for the next frame and dequeue it."""
        while not self._frames:
            self._ready.clear()
            await self._ready.wait()
        frame = self._frames.popleft()
        if len(self._frames) < MAX_QUEUED_FRAMES:
            self._has_room.set()
        if self._attached_reply is not None and not frame.reply:
            frame.reply = self._attached_reply.reply
        self._attached_reply = None
        return frame

    def close(self) -> None:
        """Release the waiting writers; queued frames are not sent."""
        self._closed = True
        self._has_room.set()
