"""Tests of the selection of events by text and limit."""

from __future__ import annotations

import pytest

from quetzaldyke.parts.hlc import HybridClock
from quetzaldyke.parts.timeline import Timeline
from quetzaldyke.process.event_query import select_events


@pytest.mark.parametrize(
    ('limit', 'names'),
    [(-1, []), (0, []), (2, ['c', 'd']), (9, ['a', 'b', 'c', 'd'])],
)
def test_limit_of_events(limit: int, names: list[str]) -> None:
    """Guards against a limit of 0 that returns everything."""
    timeline = Timeline(HybridClock('entry-1'))
    for name in ('a', 'b', 'c', 'd'):
        timeline.record(name, request_id='r1')
    found = select_events(timeline, 'r1', limit)
    assert [event.name for event in found] == names
