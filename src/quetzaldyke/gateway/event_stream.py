"""Splits a server-sent event stream into whole events.

Only whole events may reach a caller, because a stream that goes on at
another endpoint starts with the event after the last whole one.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

EVENT_END: Final = b'\n\n'
EVENT_ID: Final = re.compile(rb'^id:[ ]?(\d+)', re.MULTILINE)
DATA_LINE: Final = re.compile(rb'^data:[ ]?(.*)$', re.MULTILINE)


class StreamOrderError(Exception):
    """An event is missing or the stream starts at the wrong one."""


@dataclass(slots=True)
class EventSplitter:
    r"""Whole events of one stream that may span several runs.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda')
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id, splitter.partial
    (1, b'id: 2\nda')
    >>> splitter.restart()
    >>> splitter.feed(b'id: 2\ndata: b\n\n')
    b'id: 2\ndata: b\n\n'
    """

    # Number of the last whole event; None before the first.
    last_id: int | None = None
    partial: bytes = b''

    def restart(self) -> None:
        """Drop the cut event; the next run begins after the last whole one."""
        self.partial = b''

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole events that a chunk completes."""
        text = self.partial + chunk if self.partial else chunk
        end = text.rfind(EVENT_END)
        if end < 0:
            self.partial = text
            return b''
        end += len(EVENT_END)
        whole, self.partial = text[:end], text[end:]
        for match in EVENT_ID.finditer(whole):
            self.check_order(int(match.group(1)))
        return whole

    def check_order(self, event_id: int) -> None:
        """Check that an event follows the one before."""
        if self.last_id is not None and event_id != self.last_id + 1:
            raise StreamOrderError(f'{event_id} after {self.last_id}')
        self.last_id = event_id


def event_data(events: bytes) -> list[bytes]:
    r"""Return the data of each event.

    >>> event_data(b'id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n')
    [b'a', b'b\nc']
    """
    found = []
    for event in events.split(EVENT_END):
        lines = DATA_LINE.findall(event)
        if lines:
            found.append(b'\n'.join(line.rstrip(b'\r') for line in lines))
    return found
