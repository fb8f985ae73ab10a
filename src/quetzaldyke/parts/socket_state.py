"""Reads from a TCP socket what the event loops don't report of it.

A peer that closes a connection before it has read what was sent to it resets
the connection behind its end of stream. The loops report the end of stream
first, and mostly never the reset.
"""

from __future__ import annotations

import asyncio
import fcntl
import os
import socket
import struct
import termios
from typing import Final

# Interval of the checks whether a peer that has ended its answer, and has not
# received the whole request, reads on or has reset the connection.
END_CHECK_INTERVAL_S: Final = 0.01
INT: Final = struct.Struct('i')


def pending_error(transport: asyncio.Transport) -> OSError | None:
    """Return the error of an open connection that no call has returned yet.

    The operating system forgets the error then.
    """
    connected = transport.get_extra_info('socket')
    number = connected.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return OSError(number, os.strerror(number)) if number else None


def unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return how many written bytes the peer's system has not received.

    The connection must be open.
    """
    connected = transport.get_extra_info('socket')
    queued = fcntl.ioctl(connected.fileno(), termios.TIOCOUTQ, bytes(INT.size))
    (queued_bytes,) = INT.unpack(queued)
    return transport.get_write_buffer_size() + int(queued_bytes)
