"""Describes why content of another writer was refused, in a few words.

The messages of pydantic contain the refused content, which may be a megabyte
long and comes from outside; a log line names the field and the rule instead.
"""

from __future__ import annotations

from typing import Final

from pydantic import ValidationError

MAX_REASON_CHARS: Final = 200


def describe_invalid(fault: Exception) -> str:
    """Return the first fault in one short line, without the content.

    >>> describe_invalid(ValueError('x' * 500)) == 'x' * MAX_REASON_CHARS
    True
    """
    if not isinstance(fault, ValidationError):
        return str(fault)[:MAX_REASON_CHARS]
    first, *others = fault.errors(
        include_url=False, include_context=False, include_input=False
    )
    place = '.'.join(str(part) for part in first['loc'])
    more = f' and {len(others)} more' if others else ''
    reason = f'{place}: {first["msg"]}'
    return f'{reason[:MAX_REASON_CHARS]}{more}'
