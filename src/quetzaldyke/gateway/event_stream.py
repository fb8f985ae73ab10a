"""Splits a stream of server-sent events into whole events.

Only whole events are forwarded to a caller, because a stream that is resumed
at another endpoint starts with the event after the last whole one. Whatever is
no event, such as the text of an error or the head of a second answer behind
one that ends with its connection, fails the stream.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

LF: Final = b'\n'
CR_LF: Final = b'\r\n'
EVENT_END: Final = re.compile(rb'\r?\n\r?\n')
# More digits than an id has; int() refuses numbers of some thousand digits.
EVENT_ID: Final = re.compile(rb'[ ]?(\d{1,18})')
DATA_LINE: Final = re.compile(rb'^data:[ ]?(.*)$', re.MULTILINE)
ID_FIELD: Final = b'id:'
# Kinds of lines: id, data, other field, header. A header that changes at an
# event stands before its fields, with its name in lower case; the carriage
# return of a response head is excluded.
LINE: Final = re.compile(
    rb'(?P<i>id:.*)|(?P<d>data(?::.*)?)|(?P<o>(?:event|retry)(?::.*)?)|(?::.*)?'
    rb'|(?P<h>[a-z][a-z0-9-]*:[^\r]*)'
)
# An event with data or headers has one id.
EVENT_SHAPE: Final = re.compile('o*|h*[od]*i[od]*')
# Nearly all events: matching them as a whole takes a fraction of the time.
PLAIN_EVENT: Final = re.compile(rb'id:[ ]?(\d{1,18})\ndata:[^\n]*')
LOGGED_BYTES: Final = 40
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
    # Line end of the stream; empty before its first one.
    line_end: bytes = b''

    def restart(self) -> None:
        """Drop a partial event before the stream is resumed."""
        self.partial = b''
        self.line_end = b''

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk and return all events that are now whole.

        Raises `StreamError` if the event ids are not consecutive, an event is
        too large, or there is anything but events.
        """
        buffered = self.partial + chunk if self.partial else chunk
        line_end = self.line_end or self.find_line_end(buffered)
        event_end = line_end * 2
        end = buffered.rfind(event_end) if line_end else -1
        if end < 0:
            self.hold(buffered)
            return b''
        end += len(event_end)
        whole = buffered[:end]
        self.hold(buffered[end:])
        last_id = self.last_id
        for event in whole.removesuffix(event_end).split(event_end):
            event_id = read_event_id(event, line_end)
            if event_id is not None:
                last_id = next_id(last_id, event_id)
        # Only now: a chunk with a wrong event delivers none of its events.
        self.last_id = last_id
        return whole

    def find_line_end(self, buffered: bytes) -> bytes:
        """Store and return the line end of a stream, from its first line."""
        first, found, _ = buffered.partition(LF)
        if found:
            self.line_end = CR_LF if first.endswith(b'\r') else LF
        return self.line_end

    def hold(self, partial: bytes) -> None:
        """Store the start of an event; raises `StreamError` if too large."""
        if len(partial) > MAX_EVENT_BYTES:
            raise StreamError(f'event exceeds {MAX_EVENT_BYTES} bytes')
        self.partial = partial


def read_event_id(event: bytes, line_end: bytes = LF) -> int | None:
    r"""Return the id of an event, or None if it has none and no data.

    Raises `StreamError` unless it consists of the lines of an event, with one
    id if it has data. Comments keep a stream open and need no id.

    >>> read_event_id(b'weight-versions: 3\nid: 7\ndata: a')
    7
    >>> read_event_id(b': still here') is None
    True
    """
    plain = PLAIN_EVENT.fullmatch(event)
    if plain is not None:
        return int(plain.group(1))
    lines = event.split(line_end)
    kinds = ''.join(line_kind(line) for line in lines)
    if not EVENT_SHAPE.fullmatch(kinds):
        raise StreamError(f'{event[:LOGGED_BYTES]!r} is no event')
    ids = (line[len(ID_FIELD) :] for line in lines if line.startswith(ID_FIELD))
    return next((decode_id(content) for content in ids), None)


def line_kind(line: bytes) -> str:
    """Return the letter of a line's kind, which is empty for a comment."""
    match = LINE.fullmatch(line)
    return 'x' if match is None else match.lastgroup or ''


def decode_id(content: bytes) -> int:
    """Return the number of an id field; raises `StreamError` if it is none."""
    match = EVENT_ID.fullmatch(content)
    if match is None:
        raise StreamError(f'{content[:LOGGED_BYTES]!r} is no event id')
    return int(match.group(1))


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
    for event in EVENT_END.split(events):
        lines = DATA_LINE.findall(event)
        if lines:
            data.append(b'\n'.join(line.rstrip(b'\r') for line in lines))
    return data
