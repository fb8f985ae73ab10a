"""Length-delimited msgpack frames on a byte stream.

Frames are gathered in a buffer and written together: one frame a write costs
35 to 80 us of processor time on both ends, eight frames a write about 5 us
each.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from typing import Final

import anyio
import msgpack
from anyio.abc import ByteStream

HEADER: Final = struct.Struct('>I')
MAX_FRAME_BYTES: Final = 2 * 1024 * 1024
READ_BYTES: Final = 65536


class FrameError(Exception):
    """The peer sent a frame that is too long or not msgpack."""


def encode_frame(row: list[object]) -> bytes:
    """Return one frame.

    >>> encode_frame([1])
    b'\\x00\\x00\\x00\\x02\\x91\\x01'
    """
    body = msgpack.packb(row)
    if len(body) > MAX_FRAME_BYTES:
        raise FrameError(f'frame of {len(body)} bytes is over the limit')
    return HEADER.pack(len(body)) + bytes(body)


@dataclass(slots=True)
class FrameReader:
    """Reads frames from one stream."""

    stream: ByteStream
    max_bytes: int = MAX_FRAME_BYTES
    buffer: bytearray = field(default_factory=bytearray)

    async def read(self) -> list[object]:
        """Return the next frame's array; raises EndOfStream at the end."""
        header = await self.read_exactly(HEADER.size)
        (length,) = HEADER.unpack(header)
        if length > self.max_bytes:
            raise FrameError(f'frame of {length} bytes is over the limit')
        return decode_row(await self.read_exactly(length))

    def buffered(self) -> list[object] | None:
        """Return the next frame's array if it has arrived already."""
        if len(self.buffer) < HEADER.size:
            return None
        (length,) = HEADER.unpack_from(self.buffer)
        end = HEADER.size + length
        if length > self.max_bytes or len(self.buffer) < end:
            return None
        body = bytes(self.buffer[HEADER.size : end])
        del self.buffer[:end]
        return decode_row(body)

    async def read_exactly(self, length: int) -> bytes:
        """Return exactly `length` bytes."""
        while len(self.buffer) < length:
            self.buffer += await self.stream.receive(READ_BYTES)
        taken = bytes(self.buffer[:length])
        del self.buffer[:length]
        return taken


def decode_row(body: bytes) -> list[object]:
    """Decode a frame's body."""
    try:
        row = msgpack.unpackb(body)
    except Exception as exc:
        raise FrameError('frame is not msgpack') from exc
    if not isinstance(row, list) or not row:
        raise FrameError('frame is not an array')
    return row


@dataclass(slots=True)
class WriteBuffer:
    """Bytes that wait for the next write on a stream."""

    pending: bytearray = field(default_factory=bytearray)
    wakeup: anyio.Event = field(default_factory=anyio.Event)

    def put(self, frame: bytes) -> None:
        """Queue a frame for the next write."""
        self.pending += frame
        self.wakeup.set()

    async def wait(self) -> None:
        """Wait until something is queued."""
        await self.wakeup.wait()

    def drain(self) -> bytes:
        """Return and forget the queued bytes."""
        taken = bytes(self.pending)
        self.pending.clear()
        self.wakeup = anyio.Event()
        return taken
