"""Decides whether an answer's status and body can be forwarded as they are.

The gateway asks for no encoding and undoes none. A transfer encoding that it
removes from the head, or a content encoding that no caller asked for, would
turn the body into other bytes at the caller.

An endpoint in trouble may send a status that is none, or an interim answer with
a body.
"""

from __future__ import annotations

from typing import Final

from quetzaldyke.gateway.exchange import ResponseHead

FIRST_STATUS: Final = 100
FIRST_FINAL_STATUS: Final = 200
LAST_STATUS: Final = 599
LOGGED_BYTES: Final = 40
# The transfer codings of a body that can be passed on. `identity` is the older
# way to state none.
READABLE_CODINGS: Final[tuple[list[bytes], ...]] = (
    [],
    [b'chunked'],
    [b'identity'],
)


def is_interim(status: int) -> bool:
    """Tell whether a final answer follows one with this status.

    >>> is_interim(100), is_interim(99), is_interim(0), is_interim(200)
    (True, False, False, False)
    """
    return FIRST_STATUS <= status < FIRST_FINAL_STATUS


def interim_fault(head: ResponseHead) -> str:
    """Return what is wrong with an interim answer, or no text.

    Its body, which none has, would take in the final answer. The parser refuses
    a switch of protocols.

    >>> interim_fault(ResponseHead(100, []))
    ''
    >>> interim_fault(ResponseHead(100, [(b'content-length', b'2')]))
    'interim response with a body'
    """
    has_length = head.get(b'content-length') not in {None, b'0'}
    if has_length or head.transfer_codings:
        return 'interim response with a body'
    return ''


def form_fault(head: ResponseHead) -> str:
    """Return what is wrong with the form of an answer, or no text.

    >>> form_fault(ResponseHead(200, [(b'transfer-encoding', b'chunked')]))
    ''
    >>> form_fault(ResponseHead(200, [(b'content-encoding', b'gzip')]))
    "content-encoding b'gzip'"
    """
    if not FIRST_FINAL_STATUS <= head.status <= LAST_STATUS:
        return f'status {head.status}'
    codings = head.transfer_codings
    if codings not in READABLE_CODINGS:
        return f'transfer-encoding {b", ".join(codings)[:LOGGED_BYTES]!r}'
    for name, content in head.headers:
        coding = content.strip().lower()
        if name == b'content-encoding' and coding not in {b'', b'identity'}:
            return f'content-encoding {coding[:LOGGED_BYTES]!r}'
    return ''
