"""Parses network addresses that other programs have written.

An address from a list or a datagram may be malformed. What a socket does with
it depends on the event loop: asyncio raises errors of several types and closes
a datagram socket, and uvloop keeps the low 16 bits of a port, so that the
request goes to another address. An address is therefore checked completely
before it is used.
"""

from __future__ import annotations

import ipaddress
import re
from typing import Final

from result import Err, Ok, Result

MAX_PORT: Final = 65_535
MAX_HOST_CHARS: Final = 253
# ASCII digits only: int() also takes signs, spaces, underscores and the digits
# of other scripts.
PORT: Final = re.compile('[1-9][0-9]{0,4}')
LABEL: Final = '[A-Za-z0-9_](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?'
HOST_NAME: Final = re.compile(rf'{LABEL}(?:\.{LABEL})*')
NUMERIC_HOST: Final = re.compile('[0-9.]+')
IPV6_HOST: Final = re.compile(r'\[([0-9A-Fa-f:.]{2,45})\]')


def is_port(port: object) -> bool:
    """Return whether a value is the number of a port that a peer listens on.

    >>> is_port(80), is_port(0), is_port(65_536), is_port(True), is_port('80')
    (True, False, False, False, False)
    """
    if isinstance(port, bool) or not isinstance(port, int):
        return False
    return 0 < port <= MAX_PORT


def parse_host(text: str) -> Result[str, str]:
    """Return a host name or IP address, IPv6 without brackets.

    >>> parse_host('10.0.0.1'), parse_host('[::1]'), parse_host('e-1.example')
    (Ok('10.0.0.1'), Ok('::1'), Ok('e-1.example'))
    >>> parse_host('a b'), parse_host('0.0.0.0')
    (Err('host is malformed'), Err('host is no address of a peer'))
    """
    bracketed = IPV6_HOST.fullmatch(text)
    host = bracketed.group(1) if bracketed else text
    if bracketed or NUMERIC_HOST.fullmatch(host):
        try:
            address = ipaddress.ip_address(host)
        except ValueError:
            return Err('host is malformed')
        if address.is_unspecified or address.is_multicast:
            return Err('host is no address of a peer')
        return Ok(host)
    if len(host) > MAX_HOST_CHARS or not HOST_NAME.fullmatch(host):
        return Err('host is malformed')
    return Ok(host)


def parse_address(text: str) -> Result[tuple[str, int], str]:
    """Return the host and port of `HOST:PORT`, or a short reason.

    >>> parse_address('10.0.0.1:80'), parse_address('[::1]:80')
    (Ok(('10.0.0.1', 80)), Ok(('::1', 80)))
    >>> parse_address('10.0.0.1:99999'), parse_address('::1:80')
    (Err('port is not 1 to 65535'), Err('host is malformed'))
    """
    host, _, port = text.rpartition(':')
    if not PORT.fullmatch(port) or int(port) > MAX_PORT:
        return Err(f'port is not 1 to {MAX_PORT}')
    return parse_host(host).map(lambda parsed: (parsed, int(port)))
