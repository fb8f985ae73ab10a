"""Tests of frames, message encoding and the peer handshake."""

from __future__ import annotations

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from quetzaldyke.connection import codec, messages, peer
from quetzaldyke.connection.frames import FrameError, FrameReader, encode_frame

SECRET = 'fleet-secret-0001'


def hello(
    instance: str, protocol: int = messages.PROTOCOL_VERSION
) -> messages.Hello:
    """Return the Hello message of an entry."""
    return messages.Hello(protocol, 'entry', instance, 'a', 'inc')


class PipeStream(anyio.abc.ByteStream):
    """One end of an in-memory byte pipe."""

    def __init__(self, sender, receiver) -> None:  # type: ignore[no-untyped-def]
        self.sender = sender
        self.receiver = receiver

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Return the next bytes."""
        return bytes(await self.receiver.receive())

    async def send(self, item: bytes) -> None:
        """Send bytes."""
        await self.sender.send(item)

    async def send_eof(self) -> None:
        """Close the sending half."""
        await self.sender.aclose()

    async def aclose(self) -> None:
        """Close both halves."""
        await self.sender.aclose()
        await self.receiver.aclose()


def pipe() -> tuple[PipeStream, PipeStream]:
    """Return two connected streams."""
    to_b, from_a = anyio.create_memory_object_stream[bytes](100)
    to_a, from_b = anyio.create_memory_object_stream[bytes](100)
    return PipeStream(to_b, from_b), PipeStream(to_a, from_a)


@given(
    text=st.text(),
    seq=st.integers(0, 2**40),
    raw=st.binary(max_size=200),
)
def test_message_round_trip(text: str, seq: int, raw: bytes) -> None:
    """Guards against fields that are reordered or changed by encoding."""
    sent = messages.Chunk('r1', seq, text, 1, raw)
    assert codec.from_row(codec.to_row(sent)) == sent


@pytest.mark.parametrize(
    'row',
    [
        [999],
        ['text'],
        [messages.Cancel.kind],
        [messages.Cancel.kind, 7],
        [messages.Cancel.kind, 'r1', 'extra'],
        [messages.Window.kind, 'r1', 'not a number'],
    ],
)
def test_malformed_rows_are_rejected(row: list[object]) -> None:
    """Guards against acting on a message that does not match its type."""
    with pytest.raises(FrameError):
        codec.from_row(row)


@pytest.mark.parametrize(
    ('secrets', 'protocol', 'accepted'),
    [
        ((SECRET, SECRET), messages.PROTOCOL_VERSION, True),
        ((SECRET, 'another-secret-01'), messages.PROTOCOL_VERSION, False),
        ((SECRET, SECRET), messages.PROTOCOL_VERSION - 1, False),
        ((SECRET, SECRET), messages.PROTOCOL_VERSION + 1, False),
    ],
)
def test_handshake(
    secrets: tuple[str, str],
    protocol: int,
    accepted: bool,
) -> None:
    """Guards against peers with a wrong secret or protocol version."""

    async def side(
        stream: PipeStream,
        secret: str,
        own: messages.Hello,
        dialer: bool,
        outcomes: list[bool],
    ) -> None:
        try:
            await peer.open_session(stream, secret, own, dialer)
        except (peer.HandshakeError, anyio.EndOfStream):
            outcomes.append(False)
            await stream.aclose()
            return
        outcomes.append(True)

    async def scenario() -> list[bool]:
        outcomes: list[bool] = []
        left, right = pipe()
        async with anyio.create_task_group() as group:
            group.start_soon(side, left, secrets[0], hello('a'), True, outcomes)
            group.start_soon(
                side,
                right,
                secrets[1],
                hello('b', protocol),
                False,
                outcomes,
            )
        return outcomes

    assert all(anyio.run(scenario)) is accepted


def test_oversized_frame_before_authentication_is_rejected() -> None:
    """Guards against memory use by a peer that is not authenticated."""

    async def scenario() -> None:
        left, right = pipe()
        await left.send(encode_frame(['challenge', b'x' * 5000]))
        with pytest.raises(FrameError):
            await FrameReader(right, max_bytes=4096).read()

    anyio.run(scenario)


@pytest.mark.parametrize('frames', [1, 3])
def test_buffered_frames_are_read_in_order(frames: int) -> None:
    """Guards against lost or split frames if several arrive in one read."""

    async def scenario() -> list[object]:
        left, right = pipe()
        joined = b''.join(encode_frame([number]) for number in range(frames))
        await left.send(joined + encode_frame(['last'])[:3])
        reader = FrameReader(right)
        rows: list[object] = [await reader.read()]
        while (row := reader.buffered()) is not None:
            rows.append(row)
        return rows

    assert anyio.run(scenario) == [[number] for number in range(frames)]


def test_only_the_latest_piggyback_is_sent() -> None:
    """Guards against outdated reports that are sent with one write."""

    async def scenario() -> list[object]:
        left, right = pipe()
        session = peer.PeerSession(left, FrameReader(left), hello('b'))
        session.send_with_next(messages.ConfigVersion(1))
        session.send_with_next(messages.ConfigVersion(2))
        session.queue_piggyback()
        await session.flush()
        return await FrameReader(right).read()

    assert anyio.run(scenario) == [messages.ConfigVersion.kind, 2]
