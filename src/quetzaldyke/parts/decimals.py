"""Reads the whole numbers that callers and peers send as text.

int() takes signs, spaces, underscores and the digits of all scripts, raises
`ValueError` for more than 4,300 digits, and returns numbers that neither a
float nor 64 bits can hold.
"""

from __future__ import annotations

from typing import Final

# Exact as a float, and within 64 bits.
MAX_DECIMAL: Final = 0x1F_FFFF_FFFF_FFFF


def parse_decimal(
    text: str | bytes | None, maximum: int = MAX_DECIMAL
) -> int | None:
    """Return a number of ASCII digits, at most `maximum`; None for other text.

    >>> parse_decimal('0017'), parse_decimal(b'17', 9), parse_decimal('9' * 9999)
    (17, 9, 9007199254740991)
    >>> [parse_decimal(text) for text in ('', '-1', '1_0', '\u0663', ' 1', None)]
    [None, None, None, None, None, None]
    """
    if not text or not text.isascii() or not text.isdigit():
        return None
    digits = (text if isinstance(text, str) else text.decode()).lstrip('0')
    if len(digits) > len(str(maximum)):
        return maximum
    return min(int(digits or '0'), maximum)
