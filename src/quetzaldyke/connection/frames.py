"""Reads and writes length-prefixed msgpack frames on a byte stream.

Frames are buffered and written together: with one frame per write, a frame
costs 35 to 80 us of CPU time, both ends together; with eight frames per write,
it costs about 5 us.
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
    """A frame is too long or is not a valid message."""


def encode_frame(row: list[object]) -> bytes:
    """Return the frame of a row; raises FrameError if it is too long.

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
        """Return the row of the next frame.

        Raises FrameError for an invalid frame, EndOfStream at the end.
        """
        header = await self.read_exactly(HEADER.size)
        (length,) = HEADER.unpack(header)
        if length > self.max_bytes:
            raise FrameError(f'frame of {length} bytes is over the limit')
        return decode_row(await self.read_exactly(length))

    def buffered(self) -> list[object] | None:
        """Return the row of the next frame if it is completely buffered.

        Returns None for a frame over the limit; `read` then raises.
        """
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
        """Return exactly `length` bytes; raises EndOfStream before that."""
        while len(self.buffer) < length:
            self.buffer += await self.stream.receive(READ_BYTES)
        taken = bytes(self.buffer[:length])
        del self.buffer[:length]
        return taken


def decode_row(body: bytes) -> list[object]:
    """Return the row in a frame's body; raises FrameError for any other."""
    try:
        row = msgpack.unpackb(body)
    except Exception as exc:
        raise FrameError('frame is not valid msgpack') from exc
    if not isinstance(row, list) or not row:
        raise FrameError('frame is not a non-empty array')
    return row


@dataclass(slots=True)
class WriteBuffer:
    """Buffer of the frames that are sent with the next write."""

    pending: bytearray = field(default_factory=bytearray)
    wakeup: anyio.Event = field(default_factory=anyio.Event)

    def put(self, frame: bytes) -> None:
        """Append a frame."""
        self.pending += frame
        self.wakeup.set()

    async def wait(self) -> None:
        """Wait until a frame is buffered."""
        await self.wakeup.wait()

    def drain(self) -> bytes:
        """Return the buffered bytes and clear the buffer."""
        taken = bytes(self.pending)
        self.pending.clear()
        self.wakeup = anyio.Event()
        return taken
