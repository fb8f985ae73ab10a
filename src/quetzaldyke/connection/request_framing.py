"""Decides which heads of requests are refused before anything reads them.

Load pattern: callers, or whoever chooses a part of what they send, that try to
make two recipients disagree on where a request ends, whom it is for or which
protocol follows it. The parser refuses most of it (RFC 9112, sections 2 to 7);
what it accepts but the next recipient may read in another way is refused here.
"""

from __future__ import annotations

import re
from typing import Final, Literal, NamedTuple

from result import Err, Ok, Result

CONNECT: Final = b'CONNECT'
OPTIONS: Final = b'OPTIONS'
UPGRADE: Final = b'upgrade'
CONTINUE: Final = b'100-continue'
# The headers that the checks below need.
CHECKED_HEADERS: Final = frozenset((b'host', b'transfer-encoding', b'expect'))
VERSIONS: Final = frozenset(('1.0', '1.1'))
# A name, an address in brackets or an empty text, then perhaps a port.
HOST: Final = re.compile(
    rb"(?:[\w.~%!$&'()*+,;=-]*|\[[\w.:~%!$&'()*+,;=-]+\])(?::\d*)?", re.ASCII
)
# A fragment is no part of a target, and whitespace ends it.
PATH: Final = re.compile(rb'/[!-"$-~]*')
TARGET: Final = re.compile(rb'[!-"$-~]+')
ABSOLUTE: Final = re.compile(rb'http://([^/?]*)(.*)', re.IGNORECASE)

Fields = list[tuple[bytes, bytes]]
HeadFault = Literal['connect', 'version', 'host', 'transfer_coding', 'target']


class RequestLine(NamedTuple):
    """What stands in front of a request's headers."""

    method: bytes
    target: bytes
    version: str


def read_target(line: RequestLine, checked: Fields) -> Result[bytes, HeadFault]:
    """Return path and query of a request, or why it is refused.

    >>> read_target(RequestLine(b'GET', b'/a?', '1.1'), [(b'host', b'a')])
    Ok(b'/a?')
    >>> read_target(RequestLine(b'GET', b'/', '1.1'), [(b'host', b'a')] * 2)
    Err('host')
    """
    if is_usual(line, checked):
        return Ok(line.target)
    if line.method == CONNECT:
        return Err('connect')
    if line.version not in VERSIONS:
        return Err('version')
    hosts = [content for name, content in checked if name == b'host']
    if len(hosts) > 1 or not all(map(HOST.fullmatch, hosts)):
        return Err('host')
    if len(checked) > len(hosts):
        codings = [
            content for name, content in checked if name == b'transfer-encoding'
        ]
        if codings and not is_chunked(codings, line.version):
            return Err('transfer_coding')
    target = origin_target(line, hosts)
    return Err('target') if target is None else Ok(target)


def is_usual(line: RequestLine, checked: Fields) -> bool:
    """Tell in a short time that a request has none of the faults below."""
    if len(checked) != 1 or line.version != '1.1' or line.method == CONNECT:
        return False
    name, content = checked[0]
    return (
        name == b'host'
        and PATH.fullmatch(line.target) is not None
        and HOST.fullmatch(content) is not None
    )


def is_chunked(codings: list[bytes], version: str) -> bool:
    """Tell whether chunks are the only transfer coding.

    Any other one would have to be undone before the body is forwarded, and
    HTTP/1.0 has none.
    """
    return version == '1.1' and [text.lower() for text in codings] == [
        b'chunked'
    ]


def origin_target(line: RequestLine, hosts: list[bytes]) -> bytes | None:
    """Return path and query of a target; None if it is malformed.

    An absolute target has to name the same host as the header, which others
    may go by.

    >>> origin_target(RequestLine(b'GET', b'http://A/b?', '1.1'), [b'a'])
    b'/b?'
    """
    target = line.target
    if TARGET.fullmatch(target) is None:
        return None
    if target.startswith(b'/'):
        return target
    if target == b'*':
        return target if line.method == OPTIONS else None
    absolute = ABSOLUTE.fullmatch(target)
    if absolute is None:
        return None
    authority, rest = absolute.groups()
    if not authority or [authority.lower()] != [text.lower() for text in hosts]:
        return None
    if rest.startswith(b'/'):
        return rest
    return b'*' if line.method == OPTIONS and not rest else b'/%b' % rest


def expects_continue(line: RequestLine, checked: Fields) -> bool:
    """Tell whether a caller waits for a word before it sends its body.

    A caller that speaks HTTP/1.0 would take that word for its answer.
    """
    return line.version == '1.1' and any(
        name == b'expect' and content.lower() == CONTINUE
        for name, content in checked
    )


def without_offer(line: RequestLine, headers: Fields) -> bytes:
    r"""Return the head of a request without its offer of other protocols.

    >>> without_offer(RequestLine(b'GET', b'/', '1.1'), [(b'upgrade', b'h2c')])
    b'GET / HTTP/1.1\r\n\r\n'
    """
    start = b'%b %b HTTP/%b' % (line.method, line.target, line.version.encode())
    kept = [
        b'%b: %b' % (name, content)
        for name, content in headers
        if name != UPGRADE
    ]
    return b'\r\n'.join([start, *kept, b'', b''])
