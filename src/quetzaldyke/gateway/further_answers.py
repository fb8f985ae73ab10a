"""Finds the head of a further answer within the answer before it.

A second answer behind one without length or chunks is part of its body for
HTTP, and so is one behind a body that was cut short of its length: it fills the
rest. An answer behind one whose head was broken off is part of that head: its
status line ends the reason phrase or a header, and its headers follow. No
other field shows any of these.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from typing import Final

# It may follow the body without a line break.
STATUS_LINE: Final = re.compile(rb'HTTP/1\.[01] \d{3}')
# Nearly no body holds it, and a search for plain text is fast.
LINE_START: Final = b'HTTP/1.'
# Completes the beginning of a status line, whatever its version and status.
ANY_STATUS_LINE: Final = b'HTTP/1.1 200'


def is_torn(reason: bytes, headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Tell whether a head holds the status line of a further one.

    >>> is_torn(b'OHTTP/1.1 500 Failed', [])
    True
    >>> is_torn(b'OK', [(b'server-load', b'1,0HTTP/1.1 200 OK')])
    True
    >>> is_torn(b'OK', [(b'via', b'HTTP/1.1 proxy')])
    False
    """
    texts = (reason, *(content for _, content in headers))
    return any(STATUS_LINE.search(text) for text in texts)


def further_ids(body: bytes, echo_header: bytes) -> Iterator[bytes]:
    r"""Yield the request's id below each status line that a body holds.

    The time grows with the size of the body, whatever it holds.

    >>> list(further_ids(b'okHTTP/1.1 200 OK\r\nA: b\r\nId: r1\r\n', b'id'))
    [b'r1']
    >>> list(further_ids(b'HTTP/1.1 200 OK\r\n\r\nid: 1\r\n', b'id'))
    []
    """
    start = body.find(LINE_START)
    if start < 0:
        return
    in_head = False
    for line in body[start:].split(b'\n'):
        name, _, content = line.partition(b':')
        if in_head and name.strip().lower() == echo_header:
            yield content.strip()
        goes_on = in_head and bool(line.strip())
        in_head = goes_on or STATUS_LINE.search(line) is not None


def holds_status_line(body: bytes) -> bool:
    """Tell whether a body holds a status line, or the beginning of one at its end.

    >>> holds_status_line(b'okHTTP/1.1 503 Full'), holds_status_line(b'okHT')
    (True, True)
    >>> holds_status_line(b'HTTP/1.1 is old')
    False
    """
    if LINE_START in body and STATUS_LINE.search(body):
        return True
    tail = body[-len(ANY_STATUS_LINE) :]
    return any(
        STATUS_LINE.match(tail[at:] + ANY_STATUS_LINE[len(tail) - at :])
        for at in range(len(tail))
    )
