"""Reads server-sent events from the bytes of an engine's answer.

A faulty engine may send a line or an event without end. What is kept of one
event is therefore limited. It may also write a second answer into the first,
whose head then stands among the events; such a stream is refused.
"""

from __future__ import annotations

import codecs
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from httpx_sse._decoders import SSEDecoder, SSELineDecoder

# Far more than an event with the text of some tokens takes.
MAX_EVENT_BYTES: Final = 1_048_576
# A line begins with one of these, or with the colon of a comment.
FIELDS: Final = frozenset(('data', 'event', 'id', 'retry', ''))


class EventError(Exception):
    """The bytes are not a stream of events; the text tells why."""


class EventTooLongError(EventError):
    """An event exceeds the limit."""


def utf8_decoder() -> codecs.IncrementalDecoder:
    """Return a UTF-8 decoder that buffers incomplete characters.

    Invalid bytes are replaced.
    """
    return codecs.getincrementaldecoder('utf-8')('replace')


@dataclass(slots=True)
class EventReader:
    """Incremental parser of server-sent events."""

    utf8: codecs.IncrementalDecoder = field(default_factory=utf8_decoder)
    lines: SSELineDecoder = field(default_factory=SSELineDecoder)
    events: SSEDecoder = field(default_factory=SSEDecoder)
    # Bytes of the event that is not complete: of the reads that completed no
    # line, and characters of its complete lines.
    line_bytes: int = 0
    event_chars: int = 0

    def feed(self, raw: bytes) -> Iterator[str]:
        """Add bytes and yield the data of the events completed by them.

        Raises `EventError` if an event exceeds the limit or a line is no
        field of an event.
        """
        lines = self.lines.decode(self.utf8.decode(raw))
        self.line_bytes = 0 if lines else self.line_bytes + len(raw)
        for line in lines:
            if line.partition(':')[0] not in FIELDS:
                raise EventError('line is no field of an event')
            self.event_chars = self.kept_after(line)
            event = self.events.decode(line)
            if event is not None and event.data:
                yield event.data
        if self.line_bytes + self.event_chars > MAX_EVENT_BYTES:
            raise EventTooLongError('event is too long')

    def kept_after(self, line: str) -> int:
        """Return the characters kept of the event after one more line.

        An empty line completes the event, and comments are not kept.
        """
        if not line:
            return 0
        if line.startswith(':'):
            return self.event_chars
        return self.event_chars + len(line)
