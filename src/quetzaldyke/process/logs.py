"""Logs each event as one key=value line, through eliot.

Every event is also recorded in the process's timeline. Callers must not
pass secrets or request bodies.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Mapping
from typing import Final, TextIO

import eliot

from quetzaldyke.parts.hlc import HybridClock
from quetzaldyke.parts.timeline import Event, Timeline

# Fields that eliot adds and that the timeline's stamp replaces.
OMITTED_FIELDS: Final = frozenset(
    (
        'task_uuid',
        'task_level',
        'timestamp',
        'message_type',
    )
)

LogEvent = Callable[..., Event]


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
    """Return the log line of an eliot message, event name first."""
    pairs = [f'event={message.get("message_type", "")}']
    pairs.extend(
        f'{key}={render_value(content)}'
        for key, content in message.items()
        if key not in OMITTED_FIELDS
    )
    return ' '.join(pairs)


def line_writer(output: TextIO) -> Callable[[Mapping[str, object]], None]:
    """Return an eliot destination that writes lines to `output`."""

    def write(message: Mapping[str, object]) -> None:
        output.write(f'{render_line(message)}\n')
        output.flush()

    return write


def add_stderr_destination() -> None:
    """Write all further log lines to standard error."""
    eliot.add_destinations(line_writer(sys.stderr))


def make_log_event(
    process: str,
    clock: HybridClock,
) -> tuple[LogEvent, Timeline]:
    """Return the logging function of a process and its new timeline."""
    timeline = Timeline(clock)

    def log_event(name: str, **fields: object) -> Event:
        event = timeline.record(name, **fields)
        eliot.log_message(
            message_type=name,
            stamp=event.stamp,
            process=process,
            **fields,
        )
        return event

    return log_event, timeline
