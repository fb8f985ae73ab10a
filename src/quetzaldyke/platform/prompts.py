"""Decodes the platform's list of the parts of a prompt."""

from __future__ import annotations

from typing import Final

# More parts than this are ignored; a caller controls the header's length.
MAX_PARTS: Final = 16
MAX_PART_ID_BYTES: Final = 64


def decode_prompt_parts(header: bytes | None) -> tuple[str, ...]:
    """Return the ids of a prompt's parts in the order in which they are read.

    The header lists `ID:TOKENS` entries, separated by commas. Entries without
    an id of reasonable length are left out.

    >>> decode_prompt_parts(b'5c1e07a2:800, 91bd3f06:410')
    ('5c1e07a2', '91bd3f06')
    >>> decode_prompt_parts(b':5,,x'), decode_prompt_parts(None)
    (('x',), ())
    """
    entries = (header or b'').split(b',', MAX_PARTS)[:MAX_PARTS]
    part_ids = (entry.partition(b':')[0].strip() for entry in entries)
    return tuple(
        part_id.decode('latin-1')
        for part_id in part_ids
        if 0 < len(part_id) <= MAX_PART_ID_BYTES
    )
