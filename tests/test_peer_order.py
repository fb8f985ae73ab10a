"""Tests of the order in which a peer receives messages."""

from __future__ import annotations

import anyio

from quetzaldyke.connection.frames import FrameReader
from quetzaldyke.connection.messages import (
    PROTOCOL_VERSION,
    ConfigVersion,
    Hello,
    Message,
)
from quetzaldyke.connection.peer import PeerSession

NEWEST = 2


def test_older_message_is_not_sent_after_a_newer_one() -> None:
    """Guards against a late report that reopens an endpoint that left."""

    async def scenario() -> list[Message]:
        sender, receiver = anyio.create_memory_object_stream[bytes](8)
        stream = MemoryStream(sender, receiver)
        hello = Hello(PROTOCOL_VERSION, 'entry', 'e', 'a', 'inc')
        session = PeerSession(stream, FrameReader(stream), hello)
        session.send_with_next(ConfigVersion(1))
        session.send(ConfigVersion(NEWEST))
        session.queue_piggyback()
        await session.flush()
        await sender.aclose()
        return [one async for one in session.messages()]

    assert anyio.run(scenario) == [ConfigVersion(NEWEST)]


class MemoryStream(anyio.abc.ByteStream):
    """Returns the bytes that were sent."""

    def __init__(
        self,
        sender: anyio.abc.ObjectSendStream[bytes],
        receiver: anyio.abc.ObjectReceiveStream[bytes],
    ) -> None:
        """Join both ends."""
        self.sender = sender
        self.receiver = receiver

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Return the bytes of one send."""
        return await self.receiver.receive()

    async def send(self, item: bytes) -> None:
        """Send bytes."""
        await self.sender.send(item)

    async def send_eof(self) -> None:
        """End the sending direction."""

    async def aclose(self) -> None:
        """Close both ends."""
