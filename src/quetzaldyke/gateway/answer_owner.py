"""Decides which request an answer belongs to.

Endpoints return the id of the request. A late or repeated answer on a kept
connection must not reach the request that waits there now.
"""

from __future__ import annotations

from enum import Enum

from quetzaldyke.gateway.exchange import ResponseHead


class Owner(Enum):
    """Whose answer it is, by the ids that it names."""

    THIS = 'this'
    # Another request's: the answer to this one is still to come.
    OTHER = 'other'
    # No id: on a connection that can't have another answer it is this
    # request's, else it proves nothing.
    UNNAMED = 'unnamed'
    # Several ids: it proves nothing.
    SEVERAL = 'several'


def owner_of(
    head: ResponseHead, echo_header: bytes, expected_echo: bytes
) -> Owner:
    """Return whose answer it is; any is this request's if no id is expected.

    >>> owner_of(ResponseHead(200, [(b'id', b'r1')]), b'id', b'r1')
    <Owner.THIS: 'this'>
    >>> owner_of(ResponseHead(200, [(b'id', b'r0')]), b'id', b'r1')
    <Owner.OTHER: 'other'>
    >>> owner_of(ResponseHead(200, []), b'id', b'r1')
    <Owner.UNNAMED: 'unnamed'>
    """
    if not echo_header:
        return Owner.THIS
    named = {content for name, content in head.headers if name == echo_header}
    if not named:
        return Owner.UNNAMED
    if len(named) > 1:
        return Owner.SEVERAL
    return Owner.THIS if expected_echo in named else Owner.OTHER
