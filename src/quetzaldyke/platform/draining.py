"""Decodes whether an endpoint states in a response that it is draining."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from result import Err, Ok, Result

from quetzaldyke.platform.names import DRAINING

STATED: Final = b'1'
# Characters of an unreadable value that are reported.
MAX_REPORTED_CHARS: Final = 40


def decode_draining(
    headers: Iterable[tuple[bytes, bytes]],
) -> Result[bool, str]:
    """Return whether the response states that its endpoint is draining.

    A header that comes several times states it if one of its values does.
    Fails with the reason if there are only values that are not defined.

    >>> decode_draining([(b'server-leaving', b' 1 ')]), decode_draining([])
    (Ok(True), Ok(False))
    >>> decode_draining([(b'server-leaving', b'0')])
    Err('unreadable value 0')
    >>> decode_draining([(b'connection', b'close')])
    Ok(False)
    """
    values = [content for name, content in headers if name == DRAINING]
    if not values:
        return Ok(False)
    parts = [part.strip() for text in values for part in text.split(b',')]
    if STATED in parts:
        return Ok(True)
    reported = values[0].decode('latin-1')[:MAX_REPORTED_CHARS]
    return Err(f'unreadable value {reported}')
