"""Authenticated message session between two processes of the fleet.

Before any message is read, both sides prove knowledge of the fleet secret by
an HMAC over the other side's challenge. One task then reads messages in order
and another writes the queued ones with a delay of one flush interval.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Final

import anyio
from anyio.abc import ByteStream

from quetzaldyke.connection.codec import from_row, to_row
from quetzaldyke.connection.frames import (
    MAX_FRAME_BYTES,
    FrameError,
    FrameReader,
    WriteBuffer,
    encode_frame,
)
from quetzaldyke.connection.messages import (
    PROTOCOL_VERSION,
    Heartbeat,
    Hello,
    Message,
)
from quetzaldyke.parts.hlc import MS_IN_S

HANDSHAKE_TIMEOUT_S: Final = 5.0
HANDSHAKE_FRAME_BYTES: Final = 4096
CHALLENGE_BYTES: Final = 16
FLUSH_INTERVAL_S: Final = 0.002
HEARTBEAT_INTERVAL_S: Final = 1.0
# A peer that sends nothing for this many intervals is considered dead.
MAX_MISSED_INTERVALS: Final = 3.0
# The connection is closed when more unsent bytes are queued. A peer that stops
# reading can therefore not exhaust the memory of this process.
MAX_PENDING_BYTES: Final = 16_777_216


class HandshakeError(Exception):
    """The handshake failed: wrong version, credentials or message."""


class PeerClosed(Exception):
    """The session was closed; queued messages may not have arrived."""


@dataclass(slots=True)
class PeerSession:
    """An authenticated connection to another process."""

    stream: ByteStream
    reader: FrameReader
    remote: Hello
    write_buffer: WriteBuffer = field(default_factory=WriteBuffer)
    closed: bool = False
    silence_timeout_s: float = HEARTBEAT_INTERVAL_S * MAX_MISSED_INTERVALS
    # Interval announced by the peer; heartbeats and piggybacked messages are
    # not sent to it more often.
    peer_interval_s: float = HEARTBEAT_INTERVAL_S
    # Time of the last read from the stream.
    last_received_s: float = 0.0
    # Frames queued since the last heartbeat was due.
    sent_frames: int = 0
    # Latest message of each kind that is sent with the next write.
    piggyback: dict[int, Message] = field(default_factory=dict)

    def send(self, message: Message) -> None:
        """Queue a message; does nothing if the session is closed.

        It replaces one of its kind that waits for the next write.
        """
        if self.closed:
            return
        self.piggyback.pop(message.kind, None)
        self.write_buffer.put(encode_frame(to_row(message)))
        self.sent_frames += 1

    def send_with_next(self, message: Message) -> None:
        """Send a message with the next write, or when a heartbeat is due.

        Only the latest message of a kind is kept. A message in a separate
        write costs about 300 us of CPU time, both ends together; one that is
        piggybacked on another write costs about 5 us.
        """
        self.piggyback[message.kind] = message

    async def messages(self) -> AsyncIterator[Message]:
        """Yield received messages until the stream ends or breaks.

        Raises FrameError for a frame that is not a valid message.
        """
        while True:
            row = self.reader.buffered()
            if row is None:
                row = await read_row_or_none(self.reader)
                self.last_received_s = anyio.current_time()
            if row is None:
                return
            yield from_row(row)

    async def cancel_when_silent(self, scope: anyio.CancelScope) -> None:
        """Cancel the scope when nothing was read for the silence timeout.

        A single sleeping task costs less than a timeout for each read.
        """
        self.last_received_s = anyio.current_time()
        remaining_s = self.silence_timeout_s
        while remaining_s > 0:
            await anyio.sleep(remaining_s)
            due_s = self.last_received_s + self.silence_timeout_s
            remaining_s = due_s - anyio.current_time()
        scope.cancel()

    async def write_queued(self) -> None:
        """Write queued frames, coalesced over one flush interval.

        Raises PeerClosed when more than `MAX_PENDING_BYTES` are queued.
        """
        while not self.closed:
            await self.write_buffer.wait()
            await anyio.sleep(FLUSH_INTERVAL_S)
            if len(self.write_buffer.pending) > MAX_PENDING_BYTES:
                raise PeerClosed('write buffer full: the peer does not read')
            self.queue_piggyback()
            await self.stream.send(self.write_buffer.drain())

    def queue_piggyback(self) -> None:
        """Queue the messages that were set aside for the next write."""
        waiting = list(self.piggyback.values())
        self.piggyback.clear()
        for message in waiting:
            self.send(message)

    async def send_heartbeats(
        self,
        make_heartbeat: Callable[[], Heartbeat],
    ) -> None:
        """Send a heartbeat when no frame was sent during an interval.

        A changed interval is always announced, because the peer derives its
        silence timeout from it.
        """
        announced_ms = 0
        while True:
            heartbeat = make_heartbeat()
            self.queue_piggyback()
            if not self.sent_frames or heartbeat.interval_ms != announced_ms:
                self.send(heartbeat)
                announced_ms = heartbeat.interval_ms
            self.sent_frames = 0
            own_interval_s = heartbeat.interval_ms / MS_IN_S
            await anyio.sleep(max(own_interval_s, self.peer_interval_s))

    async def flush(self) -> None:
        """Write all queued frames without waiting for the interval."""
        await self.stream.send(self.write_buffer.drain())


async def read_row_or_none(reader: FrameReader) -> list[object] | None:
    """Return the next row; None if the stream ended or broke."""
    try:
        return await reader.read()
    except (
        anyio.EndOfStream,
        anyio.BrokenResourceError,
        anyio.ClosedResourceError,
        FrameError,
    ):
        return None


def compute_proof(secret: str, challenge: bytes, side: str) -> bytes:
    """Return the HMAC with which one side answers a challenge.

    The side is part of the authenticated text, which prevents reflection
    attacks.
    """
    text = side.encode() + challenge
    return hmac.new(secret.encode(), text, hashlib.sha256).digest()


async def open_session(
    stream: ByteStream,
    secret: str,
    own_hello: Hello,
    dialer: bool,
) -> PeerSession:
    """Authenticate both sides, exchange Hello and return the session.

    Raises HandshakeError if the peer is refused, TimeoutError after
    `HANDSHAKE_TIMEOUT_S`, and FrameError for a malformed frame.
    """
    reader = FrameReader(stream, max_bytes=HANDSHAKE_FRAME_BYTES)
    with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
        await authenticate(stream, reader, secret, dialer)
        await stream.send(encode_frame(to_row(own_hello)))
        remote = from_row(await reader.read())
    if not isinstance(remote, Hello):
        raise HandshakeError('expected Hello as the first message')
    if remote.protocol != PROTOCOL_VERSION:
        raise HandshakeError(f'unsupported protocol version {remote.protocol}')
    reader.max_bytes = MAX_FRAME_BYTES
    return PeerSession(stream, reader, remote)


async def authenticate(
    stream: ByteStream,
    reader: FrameReader,
    secret: str,
    dialer: bool,
) -> None:
    """Exchange challenges and proofs; raises HandshakeError on failure."""
    own_side, peer_side = ('d', 'l') if dialer else ('l', 'd')
    challenge = secrets.token_bytes(CHALLENGE_BYTES)
    await stream.send(encode_frame(['challenge', challenge]))
    peer_challenge = parse_handshake_row(await reader.read(), 'challenge')
    await stream.send(
        encode_frame(['proof', compute_proof(secret, peer_challenge, own_side)])
    )
    peer_proof = parse_handshake_row(await reader.read(), 'proof')
    if not hmac.compare_digest(
        peer_proof, compute_proof(secret, challenge, peer_side)
    ):
        raise HandshakeError('invalid proof of the fleet secret')


def parse_handshake_row(row: list[object], name: str) -> bytes:
    """Return the bytes of a handshake row with this name.

    Raises HandshakeError for any other row.
    """
    if len(row) == 2 and row[0] == name and isinstance(row[1], bytes):
        return row[1]
    raise HandshakeError(f'expected {name}')
