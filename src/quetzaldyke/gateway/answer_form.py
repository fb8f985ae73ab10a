"""Decides whether the body of an answer can be forwarded as it is.

The gateway asks for no encoding and undoes none. A transfer encoding that it
removes from the head, or a content encoding that no caller asked for, would
turn the body into other bytes at the caller.
"""

from __future__ import annotations

from typing import Final

from quetzaldyke.gateway.exchange import ResponseHead

LAST_STATUS: Final = 599
LOGGED_BYTES: Final = 40
# The transfer codings of a body that can be passed on. `identity` is the older
# way to state none.
READABLE_CODINGS: Final[tuple[list[bytes], ...]] = (
    [],
    [b'chunked'],
    [b'identity'],
)


def form_fault(head: ResponseHead) -> str:
    """Return what is wrong with the form of an answer, or no text.

    >>> form_fault(ResponseHead(200, [(b'transfer-encoding', b'chunked')]))
    ''
    >>> form_fault(ResponseHead(200, [(b'content-encoding', b'gzip')]))
    "content-encoding b'gzip'"
    """
    if head.status > LAST_STATUS:
        return f'status {head.status}'
    codings = head.transfer_codings
    if codings not in READABLE_CODINGS:
        return f'transfer-encoding {b", ".join(codings)[:LOGGED_BYTES]!r}'
    for name, content in head.headers:
        coding = content.strip().lower()
        if name == b'content-encoding' and coding not in {b'', b'identity'}:
            return f'content-encoding {coding[:LOGGED_BYTES]!r}'
    return ''
