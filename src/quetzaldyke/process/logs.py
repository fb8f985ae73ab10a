"""Logs each event as one key=value line, through eliot.

Every event is also recorded in the process's timeline. Callers must not
pass secrets or request bodies.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Mapping
from typing import TextIO

import eliot

from quetzaldyke.parts.hlc import HybridClock
from quetzaldyke.parts.timeline import Event, Timeline
from quetzaldyke.process.log_lines import render_line as render_line

LogEvent = Callable[..., Event]


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
