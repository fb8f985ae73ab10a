"""Ring buffer of events, and merging of several buffers.

Each process keeps its latest events. Operators merge the buffers or the log
files of all processes into one causal order.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.parts.hlc import HybridClock, Stamp

DEFAULT_CAPACITY: Final = 4096  # events; about 2 MB


@dataclass(frozen=True, slots=True)
class Event:
    """One event of one process with its stamp."""

    stamp: Stamp
    name: str
    fields: dict[str, str]

    def as_row(self) -> list[object]:
        """Return the representation that is sent between processes."""
        return [list(self.stamp), self.name, self.fields]


@dataclass(slots=True)
class Timeline:
    """Records the latest events of one process.

    >>> timeline = Timeline(HybridClock('a', read_wall_ms=lambda: 1))
    >>> timeline.record('request_done', request_id='r1').name
    'request_done'
    >>> len(timeline.events)
    1
    """

    clock: HybridClock
    events: deque[Event] = field(
        default_factory=lambda: deque(maxlen=DEFAULT_CAPACITY),
    )

    def record(self, name: str, **fields: object) -> Event:
        """Append an event with the current stamp and return it.

        Fields are stored as strings.
        """
        texts = {key: str(content) for key, content in fields.items()}
        event = Event(self.clock.now(), name, texts)
        self.events.append(event)
        return event


def merge(buffers: Iterable[Iterable[Event]]) -> list[Event]:
    """Return the events of all buffers in stamp order.

    Each buffer must be in stamp order already.
    """
    return list(heapq.merge(*buffers, key=lambda event: event.stamp))
