"""Tests of splitting streams into whole events."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quetzaldyke.gateway.event_stream import (
    EventSplitter,
    StreamOrderError,
    event_data,
)
from quetzaldyke.standins.platform_endpoint import event_of

WHOLE = b''.join(event_of('r', number) for number in range(1, 8))


@given(st.lists(st.integers(0, len(WHOLE)), max_size=12))
def test_any_cut_gives_the_same_events(cuts: list[int]) -> None:
    """Guards against events that are lost or split at chunk borders."""
    splitter = EventSplitter()
    edges = [0, *sorted(cuts), len(WHOLE)]
    chunks = [WHOLE[a:b] for a, b in zip(edges, edges[1:], strict=False)]
    passed = [splitter.feed(chunk) for chunk in chunks if chunk]
    assert b''.join(passed) == WHOLE
    assert all(part.endswith(b'\n\n') for part in passed if part)
    assert splitter.last_id == 7


@given(st.integers(0, len(WHOLE)))
def test_resumed_stream_is_the_whole_stream(cut: int) -> None:
    """Guards against a piece that is missing or doubled after a resumption."""
    splitter = EventSplitter()
    first = splitter.feed(WHOLE[:cut])
    splitter.restart()
    start = (splitter.last_id or 0) + 1
    rest = b''.join(event_of('r', number) for number in range(start, 8))
    assert first + splitter.feed(rest) == WHOLE


@pytest.mark.parametrize('wrong', [2, 4, 9])
def test_wrong_start_is_noticed(wrong: int) -> None:
    """Guards against pieces of two runs that do not fit together."""
    splitter = EventSplitter()
    splitter.feed(event_of('r', 1) + event_of('r', 2))
    with pytest.raises(StreamOrderError):
        splitter.feed(event_of('r', wrong))


def test_data_of_several_events() -> None:
    """Guards against outputs that lose or join lines."""
    assert event_data(WHOLE)[:2] == [b'r/1', b'r/2']
