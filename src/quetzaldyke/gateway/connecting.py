"""Opens a connection, whatever the address that a list has named.

Addresses are checked where they are read. This is the second line: an address
that no socket can use makes the resolver and the event loop raise other errors
than `OSError`, and uvloop connects to the low 16 bits of a larger port, which
is another server.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final, TypeVar

from quetzaldyke.gateway.exchange import ExchangeError, Failure
from quetzaldyke.gateway.logs import log_event
from quetzaldyke.parts.addresses import is_port

MAX_LOGGED_CHARS: Final = 200

ProtocolT = TypeVar('ProtocolT', bound=asyncio.Protocol)


async def open_connection(
    protocol: Callable[[], ProtocolT],
    host: str,
    port: int,
    timeout_s: float,
) -> ProtocolT:
    """Connect to an address and return the protocol of the connection.

    Raises `ExchangeError` NOT_CONNECTED on an error or timeout.
    """
    if not is_port(port):
        raise unusable_address(host, port, 'port out of range')
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, opened = await loop.create_connection(protocol, host, port)
    except (OSError, TimeoutError) as exc:
        raise ExchangeError(Failure.NOT_CONNECTED, repr(exc)) from exc
    except (ValueError, TypeError, OverflowError) as exc:
        raise unusable_address(host, port, repr(exc)) from exc
    return opened


def unusable_address(host: str, port: int, reason: str) -> ExchangeError:
    """Log an address that no connection can use; return the error of it."""
    log_event(
        'address_unusable',
        host=ascii(host)[:MAX_LOGGED_CHARS],
        port=port,
        reason=reason[:MAX_LOGGED_CHARS],
    )
    return ExchangeError(Failure.NOT_CONNECTED, reason[:MAX_LOGGED_CHARS])
