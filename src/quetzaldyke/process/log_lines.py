"""Renders events as key=value lines."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

# Fields that eliot adds and that the timeline's stamp replaces.
OMITTED_FIELDS: Final = frozenset(
    (
        'task_uuid',
        'task_level',
        'timestamp',
        'message_type',
    )
)


def render_value(content: object) -> str:
    """Return a value in key=value form.

    An empty value and one with whitespace, `=` or `"` is quoted and escaped.

    >>> render_value('late answer')
    '"late answer"'
    """
    text = str(content)
    if not text or any(char in text for char in ' ="\n\r\t'):
        escaped = text.replace('\\', '\\\\').replace('"', '\\"')
        escaped = escaped.replace('\n', '\\n').replace('\r', '\\r')
        return f'"{escaped}"'
    return text


def render_line(message: Mapping[str, object]) -> str:
    """Return the log line of a message, event name first."""
    pairs = [f'event={message.get("message_type", "")}']
    pairs.extend(
        f'{key}={render_value(content)}'
        for key, content in message.items()
        if key not in OMITTED_FIELDS
    )
    return ' '.join(pairs)
