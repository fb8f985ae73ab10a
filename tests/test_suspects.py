"""Property tests of the suspects' rules, without a daemon."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quetzaldyke.parts.suspects import (
    CRASH_RETENTION_MS,
    SuspectBook,
    make_crash_id,
)

NOW_MS = 1_700_000_000_000
CRASHERS = ('crash-1', 'crash-2', 'crash-3')
INNOCENTS = tuple(f'innocent-{number}' for number in range(6))
REQUESTS = CRASHERS + INNOCENTS
ENDPOINTS = 4


@dataclass
class Fleet:
    """Endpoints that admit by one book, and the crashes of each request."""

    book: SuspectBook = field(default_factory=SuspectBook)
    running: list[list[str]] = field(
        default_factory=lambda: [[] for _ in range(ENDPOINTS)],
    )
    finished: set[str] = field(default_factory=set)
    guilty: dict[str, int] = field(default_factory=dict)
    numbers: itertools.count[int] = field(default_factory=itertools.count)

    def place(self, request: str, endpoint: int) -> None:
        """Start a request where the rules let it."""
        beside = self.running[endpoint]
        held = any(request in running for running in self.running)
        if held or request in self.finished:
            return
        verdict = self.book.verdict(request)
        others = {self.book.verdict(other) for other in beside}
        allowed = {
            'clear': 'alone' not in others,
            'apart': others <= {'clear'},
            'alone': not beside,
            'confirmed': False,
        }
        if allowed[verdict]:
            beside.append(request)

    def advance(self, endpoint: int) -> None:
        """Let an endpoint crash, or finish what it runs."""
        running, self.running[endpoint] = self.running[endpoint], []
        crashers = set(running) & set(CRASHERS)
        if not crashers:
            for request in running:
                self.book.clear(request)
                self.finished.add(request)
            return
        number = next(self.numbers)
        alone = len(running) == 1
        crash_id = make_crash_id(NOW_MS + number, 's', number, alone)
        self.book.record(crash_id, running, NOW_MS)
        for crasher in crashers:
            self.guilty[crasher] = self.guilty.get(crasher, 0) + 1


@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from([*REQUESTS, 'advance', 'advance']),
            st.integers(0, ENDPOINTS - 1),
        ),
        max_size=80,
    ),
)
def test_rules_hold_in_any_order(steps: list[tuple[str, int]]) -> None:
    """Guards against more than 3 losses, and refusals of innocents."""
    fleet = Fleet()
    for name, endpoint in steps:
        if name == 'advance':
            fleet.advance(endpoint)
        else:
            fleet.place(name, endpoint)
        assert all(crashes <= 3 for crashes in fleet.guilty.values())
        assert all(
            fleet.book.verdict(request) != 'confirmed' for request in INNOCENTS
        )
    for _ in range(10):
        for number, request in enumerate(REQUESTS):
            fleet.place(request, number % ENDPOINTS)
            fleet.advance(number % ENDPOINTS)
    assert set(INNOCENTS) == fleet.finished
    assert all(
        fleet.book.verdict(request) == 'confirmed' for request in CRASHERS
    )
    assert all(crashes <= 3 for crashes in fleet.guilty.values())


TABLES = st.dictionaries(
    st.sampled_from(REQUESTS),
    st.lists(
        st.builds(
            make_crash_id,
            st.integers(NOW_MS - 5, NOW_MS),
            st.sampled_from('ab'),
            st.integers(0, 3),
            st.booleans(),
        ),
        max_size=3,
    ),
)


@given(
    updates=st.lists(st.tuples(TABLES, TABLES), max_size=6),
    order=st.randoms(use_true_random=False),
)
def test_merging_does_not_depend_on_order(
    updates: list[tuple[dict[str, list[str]], dict[str, list[str]]]],
    order: object,
) -> None:
    """Guards against sidecars that judge a request differently for ever."""
    one = SuspectBook()
    other = SuspectBook()
    shuffled = [*updates, *updates]
    order.shuffle(shuffled)  # type: ignore[attr-defined]
    for crashes, cleared in updates:
        one.merge(crashes, cleared, NOW_MS)
    for crashes, cleared in shuffled:
        other.merge(crashes, cleared, NOW_MS)
    assert one == other


def test_news_are_told_once() -> None:
    """Guards against updates that circle between processes for ever."""
    book = SuspectBook()
    crash_id = make_crash_id(NOW_MS, 's', 1, alone=False)
    first = book.merge({'f': [crash_id]}, {'f': [crash_id]}, NOW_MS)
    assert first == ({'f': [crash_id]}, {'f': [crash_id]})
    again = book.merge({'f': [crash_id]}, {'f': [crash_id]}, NOW_MS)
    assert again == ({}, {})


@pytest.mark.parametrize(
    ('marks', 'verdict'),
    [
        ([], 'clear'),
        ([False], 'apart'),
        ([True], 'apart'),
        ([False, False], 'alone'),
        ([True, False], 'alone'),
        ([False, True], 'confirmed'),
        ([False, False, False], 'confirmed'),
    ],
)
def test_verdicts(marks: list[bool], verdict: str) -> None:
    """Guards against a verdict from the wrong number of crashes."""
    book = SuspectBook()
    for number, alone in enumerate(marks):
        crash_id = make_crash_id(NOW_MS + number, 's', number, alone)
        book.record(crash_id, ['f'], NOW_MS)
    assert book.verdict('f') == verdict


def test_records_are_forgotten() -> None:
    """Guards against records that peers keep alive by passing them on."""
    book = SuspectBook()
    crash_id = make_crash_id(NOW_MS, 's', 1, alone=False)
    book.record(crash_id, ['f'], NOW_MS)
    book.forget_old(NOW_MS + CRASH_RETENTION_MS - 1)
    assert book.verdict('f') == 'apart'
    book.forget_old(NOW_MS + CRASH_RETENTION_MS)
    assert book.verdict('f') == 'clear'
    assert book.merge({'f': [crash_id]}, {}, NOW_MS + CRASH_RETENTION_MS) == (
        {},
        {},
    )
