"""Decodes what an endpoint says in a response of the requests it takes."""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Final

from result import Err, Ok, Result

from quetzaldyke.platform.names import LIMIT, RETRY_AFTER

DECIMAL: Final = re.compile(rb'\d{1,12}(\.\d{0,12})?|\.\d{1,12}')
# Characters of an unreadable value that are reported.
MAX_REPORTED_CHARS: Final = 40


def decode_limit(
    headers: Iterable[tuple[bytes, bytes]],
) -> Result[float | None, str]:
    """Return the named requests per second, or None if none is named.

    Fails with the reason if the value is no plain decimal number, or if the
    header comes twice with different values.

    >>> decode_limit([(b'server-limit', b' 2.5 ')]), decode_limit([])
    (Ok(2.5), Ok(None))
    >>> decode_limit([(b'server-limit', b'-1')])
    Err('unreadable value -1')
    >>> decode_limit([(b'server-limit', b'1'), (b'server-limit', b'2')])
    Err('2 different values')
    """
    named = [content.strip() for name, content in headers if name == LIMIT]
    if not named:
        return Ok(None)
    for text in named:
        if not DECIMAL.fullmatch(text):
            reported = text.decode('latin-1')[:MAX_REPORTED_CHARS]
            return Err(f'unreadable value {reported}')
    rates = {float(text) for text in named}
    if len(rates) > 1:
        return Err(f'{len(rates)} different values')
    return Ok(rates.pop())


def decode_retry_after(
    headers: Iterable[tuple[bytes, bytes]],
) -> float | None:
    """Return for how many seconds an endpoint asks for no more requests.

    Returns None if it does not ask, or not with a plain number of seconds.

    >>> decode_retry_after([(b'retry-after', b'0.5')])
    0.5
    >>> decode_retry_after([(b'retry-after', b'Fri, 04 Dec 2026')]) is None
    True
    """
    for name, content in headers:
        if name == RETRY_AFTER and DECIMAL.fullmatch(content.strip()):
            return float(content)
    return None
