"""Tests that crash reports take little work and leave verdicts as they are."""

from __future__ import annotations

import sys
from dataclasses import replace
from types import FrameType
from typing import Final, TypeAlias
from unittest import mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plain_quarantine import PlainQuarantine
from quetzaldyke.gateway.crashes import (
    CrashReport,
    CrashTracker,
    ReportedCrash,
    prompt_traits,
)
from quetzaldyke.parts import crash_quarantine
from quetzaldyke.parts.crash_causes import Crash, Trait
from quetzaldyke.parts.crash_quarantine import CrashQuarantine

History: TypeAlias = list[tuple[float, tuple[object, ...]]]
REQUESTS_AN_ENDPOINT: Final = 8
COPIES: Final = 3
# Few enough that random histories drop traits.
FEW_TRAITS: Final = 7
KEYS: Final = tuple('abcdefghij')
LIFETIMES: Final = tuple(f'e{number}' for number in range(24))
TRAITS: Final = st.builds(
    Trait, st.sampled_from(KEYS), st.sampled_from((1, 1, 1, 2))
)
# Steps within and beyond the time in which crashes count as one.
STEPS_S: Final = st.sampled_from((0.0, 0.01, 0.02, 0.04, 1.0, 1.0, 40.0))
AGES_S: Final = st.sampled_from((0.005, 0.5, 30.0))
RECORDED: Final = st.tuples(
    st.just('record'),
    st.lists(TRAITS, min_size=1, max_size=4),
    st.sampled_from(LIFETIMES),
    st.sampled_from((False, False, True)),
    # Reports of earlier crashes arrive later if a datagram was lost.
    st.sampled_from((0.0, 0.0, 0.0, 0.03, 2.0)),
    AGES_S,
    st.sampled_from(('', '', 'other')),
)
OTHERS: Final = st.one_of(
    st.tuples(
        st.just('clear'),
        st.sampled_from(KEYS),
        st.lists(st.sampled_from(LIFETIMES), max_size=4),
    ),
    st.tuples(st.just('clear_early'), st.sampled_from(KEYS)),
    st.tuples(st.just('note_trial'), st.sampled_from(KEYS)),
    st.tuples(
        st.just('confirm'),
        TRAITS,
        st.lists(st.sampled_from(LIFETIMES), min_size=1, max_size=5),
        st.booleans(),
    ),
    st.tuples(st.just('drop_expired')),
)
HISTORIES: Final = st.lists(
    st.tuples(STEPS_S, st.one_of(RECORDED, RECORDED, RECORDED, OTHERS)),
    min_size=10,
    max_size=60,
)
# Many crashes under few traits, so that several causes compete.
DENSE_HISTORIES: Final = st.lists(
    st.tuples(
        st.sampled_from((0.02, 0.04, 0.5)),
        st.tuples(
            st.just('record'),
            st.lists(
                st.sampled_from([Trait(key, 1) for key in 'abcde']),
                min_size=1,
                max_size=3,
            ),
            st.integers(0, 999).map('e{}'.format),
            st.sampled_from((False, False, False, True)),
            st.sampled_from((0.0, 0.0, 0.7)),
            st.just(30.0),
            st.just('lm'),
        ),
    ),
    min_size=30,
    max_size=50,
)


class Twins:
    """The same history for the quarantine and for its plain form."""

    def __init__(self) -> None:
        """Begin without evidence."""
        self.now_s = 1_000.0
        self.quarantine = CrashQuarantine()
        self.plain = PlainQuarantine(FEW_TRAITS)

    def replay(self, history: History) -> None:
        """Compare the verdicts after each step of a history."""
        with mock.patch.object(crash_quarantine, 'MAX_TRAITS', FEW_TRAITS):
            for step_s, (name, *arguments) in history:
                self.now_s += step_s
                getattr(self, str(name))(*arguments)
                found = list(self.quarantine.quarantined.items())
                assert found == list(self.plain.quarantined.items())

    def record(
        self,
        traits: list[Trait],
        lifetime: str,
        late: bool,
        ago_s: float,
        age_s: float,
        service: str,
    ) -> None:
        """Record a crash."""
        crash = Crash(lifetime, late, self.now_s - ago_s, age_s, service)
        self.quarantine.record(traits, crash)
        self.plain.record(traits, crash)

    def clear(self, key: str, lifetimes: list[str]) -> None:
        """Clear a trait of some crashes."""
        self.quarantine.merge_cleared({key: lifetimes}, self.now_s)
        self.plain.merge_cleared({key: lifetimes}, self.now_s)

    def clear_early(self, key: str) -> None:
        """Clear a trait of its early crashes."""
        self.quarantine.clear_early([key], self.now_s)
        self.plain.clear_early(key, self.now_s)

    def note_trial(self, key: str) -> None:
        """Let a request with a trait be tried."""
        self.quarantine.note_trial([key], self.now_s)
        self.plain.note_trial(key, self.now_s)

    def confirm(self, trait: Trait, lifetimes: list[str], late: bool) -> None:
        """Adopt a verdict from the store."""
        pairs = [(lifetime, late) for lifetime in lifetimes]
        self.quarantine.confirm(trait, pairs, self.now_s)
        # Crashes are dated apart by twice the time of one cause.
        self.plain.confirm(
            trait,
            [
                Crash(lifetime, late, self.now_s - 0.06 * place)
                for place, lifetime in enumerate(lifetimes)
            ],
        )

    def drop_expired(self) -> None:
        """Drop what is past its retention."""
        self.quarantine.drop_expired(self.now_s)
        self.plain.drop_expired(self.now_s)


@settings(max_examples=300, deadline=None)
@given(HISTORIES)
def test_verdicts_are_those_of_a_plain_computation(history: History) -> None:
    """Guards against a verdict from a score that was not kept up to date."""
    Twins().replay(history)


@settings(max_examples=300, deadline=None)
@given(DENSE_HISTORIES)
def test_causes_that_compete_are_chosen_alike(history: History) -> None:
    """Guards against a wrong cause among several that share crashes."""
    Twins().replay(history)


def lost_at_once(endpoints: int) -> list[ReportedCrash]:
    """Return what entries report of endpoints that end within 20 ms."""
    return [
        ReportedCrash(
            prompt_traits(
                'lm', ['system', f'first-{number % 40}', f'{endpoint}-{number}']
            ),
            f'e{endpoint}@1',
            late=number % 2 == 0,
            age_s=1.0,
            service='lm',
            ago_s=-0.02 * endpoint / endpoints,
        )
        for endpoint in range(endpoints)
        for number in range(REQUESTS_AN_ENDPOINT)
    ]


def calls_for(crashes: list[ReportedCrash]) -> int:
    """Return how many functions run for three copies of each report."""
    tracker = CrashTracker('own')
    calls = 0

    def note_call(frame: FrameType, event: str, argument: object) -> None:
        nonlocal calls
        calls += event == 'call'

    reports = [CrashReport('peer', (crash,)) for crash in crashes]
    profile_before = sys.getprofile()
    sys.setprofile(note_call)
    try:
        for report in reports * COPIES:
            tracker.merge(report)
    finally:
        sys.setprofile(profile_before)
    return calls


def test_work_grows_linearly_with_lost_endpoints() -> None:
    """Guards against entries that stall while a failure domain is lost.

    Work that grows with the square takes four times as many calls.
    """
    assert calls_for(lost_at_once(100)) <= 2.3 * calls_for(lost_at_once(50))


@pytest.mark.parametrize('late', [False, True])
def test_repeated_report_changes_nothing(late: bool) -> None:
    """Guards against repetitions that are worked through like new reports."""
    tracker = CrashTracker('own')
    reports = [
        CrashReport('peer', (replace(crash, late=late),))
        for crash in lost_at_once(10)
    ]
    for report in reports:
        tracker.merge(report)
    with mock.patch.object(crash_quarantine, 'find_causes') as search:
        for report in reports:
            tracker.merge(report)
    assert not search.called


def test_datagram_of_several_reports_looks_once() -> None:
    """Guards against a search for each crash of a datagram."""
    tracker = CrashTracker('own')
    with mock.patch.object(
        crash_quarantine, 'find_causes', return_value=[]
    ) as search:
        crashes = tuple(lost_at_once(10))
        cleared = {'lm/part/first-1': ['e1@1']}
        tracker.merge(
            CrashReport('peer', crashes, cleared, ('lm/part/system',))
        )
    assert search.call_count == 1
