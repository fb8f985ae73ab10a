"""Sockets that wait for connections.

Load pattern: all entries of a fleet end at once and start again while
callers keep connecting. A process listens before it loads its other modules,
so that callers wait in the socket's queue for a fraction of a second instead
of being turned away. This module therefore imports nothing large.
"""

from __future__ import annotations

import socket
from typing import Final

BACKLOG: Final = 1024


def bind(address: str) -> socket.socket:
    """Return a bound socket; port 0 takes any free port."""
    host, _, port = address.rpartition(':')
    unbracketed_host = host.strip('[]')
    family = socket.AF_INET6 if ':' in unbracketed_host else socket.AF_INET
    # asyncio turns Nagle's algorithm off only on sockets with this protocol
    # number; without it each answer took 40 ms.
    bound = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        bound.bind((unbracketed_host, int(port)))
    except OSError:
        bound.close()
        raise
    bound.setblocking(False)
    return bound


def listen(address: str) -> socket.socket:
    """Return a socket whose queue takes connections from now on."""
    bound = bind(address)
    bound.listen(BACKLOG)
    return bound
