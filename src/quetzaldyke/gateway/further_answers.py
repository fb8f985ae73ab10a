"""Finds the head of a further answer within the answer before it.

A second answer behind one without length or chunks is part of its body for
HTTP. An answer behind one whose head was broken off is part of that head: its
status line ends the reason phrase or a header, and its headers follow. No
other field shows either.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Final

# It may follow the body without a line break.
STATUS_LINE: Final = re.compile(rb'HTTP/1\.[01] \d{3}')


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


def has_further_head(body: bytes, echo_header: bytes) -> bool:
    r"""Tell whether a body holds a status line with a request's id below it.

    The time grows with the size of the body, whatever it holds.

    >>> has_further_head(b'okHTTP/1.1 200 OK\r\nA: b\r\nId: r1\r\n', b'id')
    True
    >>> has_further_head(b'HTTP/1.1 200 OK\r\n\r\nid: 1\r\n', b'id')
    False
    """
    in_head = False
    for line in body.split(b'\n'):
        if in_head and line.partition(b':')[0].strip().lower() == echo_header:
            return True
        goes_on = in_head and bool(line.strip())
        in_head = goes_on or STATUS_LINE.search(line) is not None
    return False
