"""Structured log lines on standard output, bounded and never blocking.

A budget of lines a second is kept for lines about failures even when lines
about served requests have used theirs up. What is dropped is counted and
the count is logged. A reader that does not read can't stall a request: the
descriptor does not block, and a line that does not fit is dropped.
"""

from __future__ import annotations

import logging
import os
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

import eliot

from quetzaldyke.gateway.incomplete_response import IncompleteResponseError
from quetzaldyke.process.logs import render_line

LINES_PER_S: Final = 60.0
BURST_LINES: Final = 240.0
# Served requests may use the budget only down to this many lines.
RESERVED_LINES: Final = 80.0
# Events of the normal course, which are dropped first.
ROUTINE_EVENTS: Final = frozenset(
    (
        'request_served',
        'item_done',
        'item_preempted',
        'results_listed',
        'callers_timed_out',
    ),
)


@dataclass(slots=True)
class LineBudget:
    """Lines that may still be written.

    >>> budget = LineBudget(allowed=81.0)
    >>> budget.take(routine=True, now_s=0.0)
    True
    >>> budget.take(routine=True, now_s=0.0)
    False
    >>> budget.take(routine=False, now_s=0.0)
    True
    """

    allowed: float = BURST_LINES
    updated_s: float = 0.0

    def take(self, *, routine: bool, now_s: float) -> bool:
        """Use one line if the budget has it."""
        grown = self.allowed + (now_s - self.updated_s) * LINES_PER_S
        self.allowed = min(BURST_LINES, grown)
        self.updated_s = now_s
        needed = RESERVED_LINES + 1 if routine else 1
        if self.allowed < needed:
            return False
        self.allowed -= 1
        return True


@dataclass(slots=True)
class LineWriter:
    """Eliot destination that writes key=value lines to a descriptor."""

    descriptor: int
    process: str
    budget: LineBudget = field(default_factory=LineBudget)
    dropped: int = 0
    tail: bytes = b''

    def write(self, message: Mapping[str, object]) -> None:
        """Write one message unless the budget or the reader forbids it."""
        name = str(message.get('message_type', ''))
        now_s = time.monotonic()
        if not self.budget.take(routine=name in ROUTINE_EVENTS, now_s=now_s):
            self.dropped += 1
            return
        line = f't={time.time():.3f} process={self.process} '
        self.send(f'{line}{render_line(message)}\n'.encode())

    def send(self, line: bytes) -> None:
        """Hand a line to the descriptor without waiting."""
        pending = self.tail + line
        try:
            sent = os.write(self.descriptor, pending)
        except BlockingIOError:
            self.dropped += 1
            return
        # The rest of a line that was written in part must follow.
        self.tail = pending[sent:]

    async def report_dropped(self) -> None:
        """Log how many lines were dropped since the last report."""
        dropped, self.dropped = self.dropped, 0
        if dropped:
            eliot.log_message(message_type='log_lines_dropped', lines=dropped)


def start_logs(process: str, descriptor: int = 1) -> LineWriter:
    """Send the log lines of this process to a descriptor."""
    os.set_blocking(descriptor, False)
    writer = LineWriter(
        descriptor,
        process,
        LineBudget(updated_s=time.monotonic()),
    )
    eliot.add_destinations(writer.write)
    logging.basicConfig(level=logging.ERROR, handlers=[FaultHandler()])
    return writer


class FaultHandler(logging.Handler):
    """Turns error records of libraries into log lines of the process."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record, but for faults that end a channel on purpose."""
        fault = record.exc_info[1] if record.exc_info else None
        if not isinstance(fault, IncompleteResponseError):
            log_event(
                'library_fault',
                logger=record.name,
                message=record.getMessage().strip(),
                fault=repr(fault),
            )


def log_event(name: str, **fields: object) -> None:
    """Write one structured line."""
    eliot.log_message(message_type=name, **fields)
