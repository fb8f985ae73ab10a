"""Tests of splitting event streams into whole events."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quetzaldyke.gateway.event_stream import (
    MAX_EVENT_BYTES,
    EventSplitter,
    StreamError,
    event_data,
)
from quetzaldyke.standins.platform_endpoint import event_of

STREAM = b''.join(event_of('r', number) for number in range(1, 8))


@given(st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_chunk_borders_do_not_change_the_events(cuts: list[int]) -> None:
    """Guards against events that are lost or split at chunk borders."""
    splitter = EventSplitter()
    edges = [0, *sorted(cuts), len(STREAM)]
    chunks = [STREAM[a:b] for a, b in zip(edges, edges[1:], strict=False)]
    outputs = [splitter.feed(chunk) for chunk in chunks if chunk]
    assert b''.join(outputs) == STREAM
    assert all(output.endswith(b'\n\n') for output in outputs if output)
    assert splitter.last_id == 7


@given(st.lists(st.integers(0, 2 * len(STREAM)), max_size=12))
def test_events_with_two_bytes_at_line_ends(cuts: list[int]) -> None:
    """Guards against streams that are held back to their end, or refused."""
    stream = STREAM.replace(b'\n', b'\r\n')
    splitter = EventSplitter()
    edges = [0, *sorted(cuts), len(stream)]
    chunks = [stream[a:b] for a, b in zip(edges, edges[1:], strict=False)]
    outputs = [splitter.feed(chunk) for chunk in chunks if chunk]
    assert b''.join(outputs) == stream
    assert all(output.endswith(b'\r\n\r\n') for output in outputs if output)
    assert splitter.last_id == 7
    assert event_data(stream) == event_data(STREAM)
    splitter.restart()
    assert splitter.feed(event_of('r', 8)) == event_of('r', 8)


@given(st.integers(0, len(STREAM)))
def test_resumed_stream_has_every_event_once(cut: int) -> None:
    """Guards against missing or duplicate events after a resumption."""
    splitter = EventSplitter()
    first = splitter.feed(STREAM[:cut])
    splitter.restart()
    start = (splitter.last_id or 0) + 1
    rest = b''.join(event_of('r', number) for number in range(start, 8))
    assert first + splitter.feed(rest) == STREAM


@pytest.mark.parametrize('event_id', [2, 4, 9])
def test_non_consecutive_event_id_is_rejected(event_id: int) -> None:
    """Guards against joining two streams whose events aren't consecutive."""
    splitter = EventSplitter()
    splitter.feed(event_of('r', 1) + event_of('r', 2))
    with pytest.raises(StreamError):
        splitter.feed(event_of('r', event_id))


# Guards against events that a caller never gets, because the stream is resumed
# after them although they came in one chunk with a wrong event.
def test_events_beside_a_wrong_one_are_not_counted() -> None:
    """A resumption repeats the events of a chunk that was rejected."""
    splitter = EventSplitter()
    splitter.feed(event_of('r', 1))
    with pytest.raises(StreamError):
        splitter.feed(event_of('r', 2) + event_of('r', 3) + event_of('r', 9))
    splitter.restart()
    assert splitter.last_id == 1
    assert splitter.feed(event_of('r', 2)) == event_of('r', 2)


SECOND_HEAD = b'HTTP/1.1 503 Busy\r\nAttempt-Id: r\r\n\r\n'


# Guards against the text or the head of another answer in the middle of a
# stream that has neither a length nor chunks, or of a resumed one.
@pytest.mark.parametrize(
    'text',
    [
        b'<html>busy</html>\n\n',
        b'{"error": "busy"}\n\n',
        b'{\n\n"error": "busy"}\n\n',
        b'error: busy\n\n',
        b'busy\n\n',
        SECOND_HEAD + b'id: 2\ndata: b\n\n',
        SECOND_HEAD.lower() + b'id: 2\ndata: b\n\n',
        b'attempt-id: r\r\n\r\nid: 2\ndata: b\n\n',
        b'id: 2\ndata: b' + SECOND_HEAD + b'id: 3\ndata: c\n\n',
        b'id: 2\ndata: b\ncontent-type: text/html\n\n',
        b'data: no id\n\n',
        b'event: error\ndata: busy\n\n',
        b'id: 2\nid: 3\ndata: b\n\n',
        b'id: 2\ndata: b\nid: 2\n\n',
        b'id: 1\ndata: a\n\n',
        b'id: -2\ndata: b\n\n',
        b'id: 2x\ndata: b\n\n',
        b'id:\ndata: b\n\n',
        b'id: ' + b'9' * 5_000 + b'\ndata: b\n\n',
    ],
)
def test_bytes_that_are_no_event_fail_the_stream(text: bytes) -> None:
    """A stream with anything but events is broken, not forwarded."""
    splitter = EventSplitter()
    splitter.feed(b'id: 1\ndata: a\n\n')
    with pytest.raises(StreamError) as raised:
        splitter.feed(text)
    assert len(str(raised.value)) < 200
    assert splitter.last_id == 1


@pytest.mark.parametrize(
    'events',
    [
        b'id: 2\ndata: b\n\n',
        b'id:2\ndata:b\n\n',
        b'data: b\nid: 2\n\n',
        b'data: b\ndata: c\nid: 2\n\n',
        b'weight-versions: 3\nid: 2\ndata: b\n\n',
        b'weight-versions:3\nid: 2\ndata: b\n\n',
        b': still here\n\nid: 2\ndata: b\n\n',
        b':\n\n\nid: 2\ndata: b\n\n',
        b'retry: 100\n\nid: 2\nevent: token\ndata: b: c\n\n',
        b'id: 2\ndata: HTTP/1.1 200 OK\n\n',
    ],
)
def test_sound_events_are_accepted(events: bytes) -> None:
    """Guards against refusing a heartbeat, a version line or a sound text."""
    splitter = EventSplitter()
    splitter.feed(b'id: 1\ndata: a\n\n')
    assert splitter.feed(events) == events
    assert splitter.last_id == 2


def test_data_of_several_events() -> None:
    """Guards against outputs whose events are lost or joined."""
    assert event_data(STREAM)[:2] == [b'r/1', b'r/2']


@pytest.mark.parametrize('whole', [b'', event_of('r', 1)])
def test_event_without_end_is_rejected(whole: bytes) -> None:
    """Guards against an endpoint whose event uses up the memory."""
    splitter = EventSplitter()
    with pytest.raises(StreamError):
        for _ in range(100):
            splitter.feed(whole + b'data: ' + bytes(MAX_EVENT_BYTES // 8))
            whole = b''
    assert len(splitter.partial) <= MAX_EVENT_BYTES
