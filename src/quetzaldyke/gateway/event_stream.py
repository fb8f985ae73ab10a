"""Splits a stream of server-sent events into whole events.

Only whole events are forwarded to a caller, because a stream that is resumed
at another endpoint starts with the event after the last whole one.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

EVENT_END: Final = b'\n\n'
EVENT_ID: Final = re.compile(rb'^id:[ ]?(\d+)', re.MULTILINE)
DATA_LINE: Final = re.compile(rb'^data:[ ]?(.*)$', re.MULTILINE)


# Limit on one event; an endpoint may send a line without end.
MAX_EVENT_BYTES: Final = 262_144


class StreamError(Exception):
    """The stream is not a sequence of events with consecutive ids."""


@dataclass(slots=True)
class EventSplitter:
    r"""Splits one stream, which may be resumed, into whole events.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda')
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id, splitter.partial
    (1, b'id: 2\nda')
    >>> splitter.restart()
    >>> splitter.feed(b'id: 2\ndata: b\n\n')
    b'id: 2\ndata: b\n\n'
    """

    # Id of the last whole event; None before the first.
    last_id: int | None = None
    partial: bytes = b''

    def restart(self) -> None:
        """Drop a partial event before the stream is resumed."""
        self.partial = b''

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk and return all events that are now whole.

        Raises `StreamError` if the event ids are not consecutive or an event
        is too large.
        """
        buffered = self.partial + chunk if self.partial else chunk
        end = buffered.rfind(EVENT_END)
        if end < 0:
            self.hold(buffered)
            return b''
        end += len(EVENT_END)
        whole = buffered[:end]
        self.hold(buffered[end:])
        last_id = self.last_id
        for match in EVENT_ID.finditer(whole):
            last_id = next_id(last_id, int(match.group(1)))
        # Only now: a chunk with a wrong event delivers none of its events.
        self.last_id = last_id
        return whole

    def hold(self, partial: bytes) -> None:
        """Store the start of an event; raises `StreamError` if too large."""
        if len(partial) > MAX_EVENT_BYTES:
            raise StreamError(f'event exceeds {MAX_EVENT_BYTES} bytes')
        self.partial = partial


def next_id(last_id: int | None, event_id: int) -> int:
    """Return the id of an event.

    Raises `StreamError` unless it follows the previous id.
    """
    if last_id is not None and event_id != last_id + 1:
        raise StreamError(f'{event_id} is not the event id after {last_id}')
    return event_id


def event_data(events: bytes) -> list[bytes]:
    r"""Return the data field of each whole event that has one.

    >>> event_data(b'id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n')
    [b'a', b'b\nc']
    """
    data = []
    for event in events.split(EVENT_END):
        lines = DATA_LINE.findall(event)
        if lines:
            data.append(b'\n'.join(line.rstrip(b'\r') for line in lines))
    return data
