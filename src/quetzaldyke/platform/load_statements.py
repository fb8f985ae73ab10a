"""Decodes what an endpoint states of its load in a response."""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Final

from result import Err, Ok, Result

from quetzaldyke.gateway.model import StatedLoad
from quetzaldyke.platform.names import LOAD

STATEMENT: Final = re.compile(
    rb'(\d{1,6})\s*,\s*(\d{1,6})\s*,\s*(\d{1,6})(?:\s*,\s*(\d{1,6}))?'
)
# Figure that states that work takes as long as usual.
USUAL: Final = 100
# Characters of an unreadable value that are reported.
MAX_REPORTED_CHARS: Final = 40


def decode_load(
    headers: Iterable[tuple[bytes, bytes]],
) -> Result[StatedLoad | None, str]:
    """Return the stated load, or None if none is stated.

    Fails with the reason if the value is not three or four plain numbers, if
    it states that work takes no time, or if it comes twice and differs.

    >>> decode_load([(b'server-load', b'3,0,8,250')]).unwrap()
    StatedLoad(running=3, waiting=0, slots=8, slowness=2.5)
    >>> decode_load([(b'server-load', b'3, 1, 8')]).unwrap().slowness is None
    True
    >>> decode_load([]), decode_load([(b'server-load', b'3,-1,8')])
    (Ok(None), Err('unreadable value 3,-1,8'))
    """
    named = {content.strip() for name, content in headers if name == LOAD}
    if not named:
        return Ok(None)
    if len(named) > 1:
        return Err(f'{len(named)} different values')
    text = named.pop()
    match = STATEMENT.fullmatch(text)
    if match is None or (match[4] is not None and not int(match[4])):
        return Err(
            f'unreadable value {text[:MAX_REPORTED_CHARS].decode("latin-1")}'
        )
    slowness = None if match[4] is None else int(match[4]) / USUAL
    return Ok(StatedLoad(int(match[1]), int(match[2]), int(match[3]), slowness))
