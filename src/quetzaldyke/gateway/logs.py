"""Writes structured log lines to standard output, rate-limited, non-blocking.

Part of the rate limit is reserved for failures, so that lines about served
requests can't use it up. Dropped lines are counted and the count is logged.
The descriptor is non-blocking and a line that does not fit is dropped, so a
reader that stops reading the pipe can't stall requests.

Lines have the form of `process/logs.py` but do without eliot, whose import is
a tenth of what an entry loads before its first answer.
"""

from __future__ import annotations

import logging
import os
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.gateway.incomplete_response import IncompleteResponseError
from quetzaldyke.process.log_lines import render_line

LINES_PER_S: Final = 60.0
BURST_LINES: Final = 240.0
# Routine events may use tokens only down to this many.
RESERVED_TOKENS: Final = 80.0
# Events of normal operation, which are dropped first.
ROUTINE_EVENTS: Final = frozenset(
    (
        'request_served',
        'item_done',
        'item_preempted',
        'limit_used',
        'results_listed',
        'results_read',
        'watch_published',
        'watch_missed',
        'watch_gap_closed',
        'tunnels_used_up',
        'job_not_readable',
        'callers_timed_out',
        'requests_malformed',
        'crashes_cleared',
        'request_unauthorized',
    ),
)
# Reasons of refusals that come by the hundred while one caller sends too much.
ROUTINE_REASONS: Final = frozenset(('organisation_rate',))

# Receive each event of this process.
DESTINATIONS: Final[list[Callable[[Mapping[str, object]], None]]] = []


@dataclass(slots=True)
class LineRateLimiter:
    """Token bucket of log lines, with a reserve for non-routine events.

    >>> limiter = LineRateLimiter(tokens=81.0)
    >>> limiter.try_take(routine=True, now_s=0.0)
    True
    >>> limiter.try_take(routine=True, now_s=0.0)
    False
    >>> limiter.try_take(routine=False, now_s=0.0)
    True
    """

    tokens: float = BURST_LINES
    updated_s: float = 0.0

    def try_take(self, *, routine: bool, now_s: float) -> bool:
        """Take the token of one line; return False if it must be dropped."""
        refilled = self.tokens + (now_s - self.updated_s) * LINES_PER_S
        self.tokens = min(BURST_LINES, refilled)
        self.updated_s = now_s
        required = RESERVED_TOKENS + 1 if routine else 1
        if self.tokens < required:
            return False
        self.tokens -= 1
        return True


@dataclass(slots=True)
class LineWriter:
    """Destination that writes key=value lines to a file descriptor."""

    descriptor: int
    process: str
    limiter: LineRateLimiter = field(default_factory=LineRateLimiter)
    dropped: int = 0
    unsent: bytes = b''

    def write(self, message: Mapping[str, object]) -> None:
        """Write a message; drop and count it if it exceeds the rate limit."""
        name = str(message.get('message_type', ''))
        now_s = time.monotonic()
        frequent = message.get('reason') in ROUTINE_REASONS
        routine = frequent or name in ROUTINE_EVENTS
        if not self.limiter.try_take(routine=routine, now_s=now_s):
            self.dropped += 1
            return
        line = f't={time.time():.3f} process={self.process} '
        self.write_bytes(f'{line}{render_line(message)}\n'.encode())

    def write_bytes(self, line: bytes) -> None:
        """Write a line without blocking; drop and count it if that fails."""
        data = self.unsent + line
        try:
            written = os.write(self.descriptor, data)
        except OSError:
            # The pipe is full, or its reader has gone.
            self.dropped += 1
            return
        # The rest of a partially written line is written before the next one.
        self.unsent = data[written:]

    async def report_dropped(self) -> None:
        """Log how many lines were dropped since the last report."""
        dropped, self.dropped = self.dropped, 0
        if dropped:
            log_event('log_lines_dropped', lines=dropped)


def start_logs(process: str, descriptor: int = 1) -> LineWriter:
    """Send the log lines of this process to a file descriptor.

    This makes the descriptor non-blocking.
    """
    os.set_blocking(descriptor, False)
    writer = LineWriter(
        descriptor,
        process,
        LineRateLimiter(updated_s=time.monotonic()),
    )
    DESTINATIONS.append(writer.write)
    logging.basicConfig(level=logging.ERROR, handlers=[LibraryErrorHandler()])
    return writer


class LibraryErrorHandler(logging.Handler):
    """Logs error records of libraries as events of the process."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record unless its exception closes a connection on purpose."""
        fault = record.exc_info[1] if record.exc_info else None
        if not isinstance(fault, IncompleteResponseError):
            log_event(
                'library_fault',
                logger=record.name,
                message=record.getMessage().strip(),
                fault=repr(fault),
            )


def log_event(name: str, **fields: object) -> None:
    """Log an event with its fields."""
    message = {'message_type': name, **fields}
    for write in DESTINATIONS:
        write(message)
