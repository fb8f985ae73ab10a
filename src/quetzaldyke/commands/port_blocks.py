"""Chooses ports for child processes that no other run on the machine chooses.

A port that was probed as free is taken only when the child listens, so two
runs that probe the same ports give the same one to different children. Each
run therefore reserves whole blocks: it keeps a socket bound to the first port
of a block for as long as it lives. The kernel lets one process bind it, and
frees it when that process ends in whatever way.
"""

from __future__ import annotations

import contextlib
import os
import socket
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

HOST: Final = '127.0.0.1'
FIRST_PORT: Final = 10_000
BLOCK_PORTS: Final = 100
OUTGOING_RANGE: Final = Path('/proc/sys/net/ipv4/ip_local_port_range')
# The kernel's default, for a machine that doesn't tell its range.
DEFAULT_FIRST_OUTGOING: Final = 32_768


def first_outgoing_port(range_file: Path = OUTGOING_RANGE) -> int:
    """Return the first port that the kernel gives to outgoing connections.

    Blocks are below it, so that no connection occupies a child's port before
    the child listens. If there is no room for a block, it is the default: a
    connection may then occupy a port, but runs still don't share any.
    """
    try:
        first = int(range_file.read_text().split()[0])
    except (OSError, ValueError, IndexError):
        return DEFAULT_FIRST_OUTGOING
    roomy = first >= FIRST_PORT + BLOCK_PORTS
    return first if roomy else DEFAULT_FIRST_OUTGOING


def bind_alone(port: int) -> socket.socket | None:
    """Return a socket that is bound to a port, or None if one is already.

    It neither reuses addresses nor shares ports, so it is the only one.
    """
    with contextlib.ExitStack() as stack:
        bound = stack.enter_context(socket.socket())
        try:
            bound.bind((HOST, port))
        except OSError:
            return None
        stack.pop_all()
        return bound


@dataclass(slots=True)
class PortBlocks:
    """The blocks that this process has reserved, until it ends."""

    # Sockets at the first ports of the blocks.
    held: list[socket.socket] = field(default_factory=list)
    # Ports of the blocks that have not been handed out.
    unused: list[int] = field(default_factory=list)

    def reserve(self) -> None:
        """Reserve one more block.

        Raises `RuntimeError` if other processes hold all blocks.
        """
        starts = block_starts(first_outgoing_port())
        for start in starts:
            bound = bind_alone(start)
            if bound is not None:
                self.held.append(bound)
                self.unused.extend(range(start + 1, start + BLOCK_PORTS))
                return
        raise RuntimeError('no block of ports is left')

    def free_port(self) -> int:
        """Return a port of own blocks, not handed out before, not in use."""
        while True:
            if not self.unused:
                self.reserve()
            port = self.unused.pop(0)
            probe = bind_alone(port)
            if probe is not None:
                probe.close()
                return port

    def close(self) -> None:
        """Let other processes have the blocks."""
        for bound in self.held:
            bound.close()
        self.held.clear()
        self.unused.clear()


def block_starts(end: int) -> Iterator[int]:
    """Return the first ports of all blocks below a port.

    The first one differs between processes, which then seldom meet others'
    blocks.
    """
    count = (end - FIRST_PORT) // BLOCK_PORTS
    first = os.getpid() % count
    for number in range(count):
        yield FIRST_PORT + (first + number) % count * BLOCK_PORTS


OWN_BLOCKS: Final = PortBlocks()


def free_port() -> int:
    """Return a free port that no other run and no earlier call got."""
    return OWN_BLOCKS.free_port()
