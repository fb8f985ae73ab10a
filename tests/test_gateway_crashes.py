"""Tests of sharing what crashes endpoints among the entries."""

from __future__ import annotations

from unittest import mock

from gateway_kit import FakeTime, make_endpoint
from quetzaldyke.gateway.crashes import (
    CrashReport,
    CrashTracker,
    ReportedCrash,
    prompt_traits,
)
from quetzaldyke.parts import crash_quarantine
from quetzaldyke.parts.crash_causes import Trait, find_causes
from quetzaldyke.parts.crash_quarantine import MAX_TRAITS, RETENTION_S

CONTENT = (Trait('lm/content/f', 1_000),)


class TrackerPair:
    """Crash trackers of two entries that report to each other."""

    def __init__(self) -> None:
        """Connect the two trackers."""
        self.time = FakeTime(1_000.0)
        self.first = CrashTracker(
            'first', self.time.read, lambda report: self.second.merge(report)
        )
        self.second = CrashTracker(
            'second', self.time.read, lambda report: self.first.merge(report)
        )

    def crash(
        self,
        tracker: CrashTracker,
        endpoint_id: str,
        traits: tuple[Trait, ...] = CONTENT,
    ) -> None:
        """Let an endpoint crash early, a second after the last crash."""
        self.time.now_s += 1.0
        tracker.note_crash(
            traits,
            make_endpoint(endpoint_id),
            late=False,
            sent_s=self.time.now_s,
        )


def test_crashes_at_several_entries_count_together() -> None:
    """Guards against a request that crashes three endpoints at each entry."""
    trackers = TrackerPair()
    trackers.crash(trackers.first, 'a')
    trackers.crash(trackers.second, 'b')
    assert not trackers.first.is_quarantined(CONTENT)
    trackers.crash(trackers.first, 'c')
    assert trackers.first.is_quarantined(CONTENT)
    assert trackers.second.is_quarantined(CONTENT)


def test_requests_that_share_a_part_count_together() -> None:
    """Guards against a part of prompts that crashes endpoints at will.

    Each request has its own content, first part and last part.
    """
    trackers = TrackerPair()
    for number in range(3):
        traits = prompt_traits('lm', [f'first-{number}', 'bad', f'{number}'])
        trackers.crash(trackers.first, f'e{number}', traits)
    assert trackers.second.is_quarantined(
        prompt_traits('lm', ['new', 'bad', 'x'])
    )
    sound = prompt_traits('lm', ['first-0', 'sound', 'y'])
    assert not trackers.second.is_quarantined(sound)
    assert not trackers.second.is_quarantined(prompt_traits('other', ['bad']))


def test_crash_seen_by_two_entries_counts_once() -> None:
    """Guards against quarantine for one crash that several entries report."""
    trackers = TrackerPair()
    for tracker in (trackers.first, trackers.second, trackers.first):
        trackers.crash(tracker, 'a')
    assert not trackers.first.is_quarantined(CONTENT)
    first = make_endpoint('a', started_ms=1)
    assert first.lifetime != make_endpoint('a', started_ms=2).lifetime


def test_served_request_is_cleared_everywhere() -> None:
    """Guards against refusing a request for crashes of concurrent ones."""
    trackers = TrackerPair()
    for endpoint_id in ('a', 'b', 'c'):
        trackers.crash(trackers.first, endpoint_id)
    trackers.second.note_served(CONTENT)
    assert not trackers.first.is_quarantined(CONTENT)
    trackers.crash(trackers.first, 'd')
    assert not trackers.second.is_quarantined(CONTENT)


def test_crashes_are_forgotten() -> None:
    """Guards against refusing a request forever."""
    trackers = TrackerPair()
    for endpoint_id in ('a', 'b', 'c'):
        trackers.crash(trackers.first, endpoint_id)
    quarantine = trackers.second.quarantine_of(CONTENT)
    assert quarantine is not None
    trackers.time.now_s = quarantine.retry_at_s + RETENTION_S + 1
    trackers.second.drop_expired()
    assert not trackers.second.is_quarantined(CONTENT)
    assert not trackers.second.quarantine.evidence


def test_one_request_is_tried_after_the_hold() -> None:
    """Guards against a verdict that no served request can ever revise.

    Only one entry may try, and only one request.
    """
    trackers = TrackerPair()
    for endpoint_id in ('a', 'b', 'c'):
        trackers.crash(trackers.first, endpoint_id)
    assert not trackers.first.begin_trial(CONTENT)
    quarantine = trackers.first.quarantine_of(CONTENT)
    assert quarantine is not None
    assert trackers.first.retry_after_s(quarantine) >= 1.0
    trackers.time.now_s = quarantine.retry_at_s
    assert trackers.first.begin_trial(CONTENT)
    assert not trackers.first.begin_trial(CONTENT)
    assert not trackers.second.begin_trial(CONTENT)
    trackers.first.note_served(CONTENT)
    assert not trackers.second.is_quarantined(CONTENT)


def test_failed_trial_is_not_repeated_soon() -> None:
    """Guards against trials that crash one endpoint after another."""
    trackers = TrackerPair()
    for endpoint_id in ('a', 'b', 'c'):
        trackers.crash(trackers.first, endpoint_id)
    holds = []
    for endpoint_id in ('d', 'e', 'f'):
        quarantine = trackers.first.quarantine_of(CONTENT)
        assert quarantine is not None
        holds.append(quarantine.retry_at_s - trackers.time.now_s)
        trackers.time.now_s = quarantine.retry_at_s
        assert trackers.first.begin_trial(CONTENT)
        trackers.crash(trackers.first, endpoint_id)
    assert holds[0] * 4 < holds[1] * 2 < holds[2]


def test_memory_is_bounded() -> None:
    """Guards against memory growth during a mass failure."""
    tracker = CrashTracker()
    for number in range(MAX_TRAITS + 10):
        trait = Trait(f'lm/content/{number}', 1)
        tracker.note_crash([trait], make_endpoint('a'), late=False, sent_s=0.0)
    assert len(tracker.quarantine.evidence) == MAX_TRAITS
    assert 'lm/content/0' not in tracker.quarantine.evidence


def test_lost_report_is_sent_again() -> None:
    """Guards against entries that disagree because a datagram was lost."""
    trackers = TrackerPair()
    deliver = trackers.first.broadcast
    trackers.first.broadcast = lambda report: None
    for endpoint_id in ('a', 'b', 'c'):
        trackers.crash(trackers.first, endpoint_id)
    assert not trackers.second.is_quarantined(CONTENT)
    trackers.first.resend()
    trackers.first.broadcast = deliver
    trackers.first.resend()
    assert trackers.second.is_quarantined(CONTENT)
    assert not trackers.first.sent


def test_lost_trial_is_announced_again() -> None:
    """Guards against a second trial because a datagram was lost."""
    trackers = TrackerPair()
    for endpoint_id in ('a', 'b', 'c'):
        trackers.crash(trackers.first, endpoint_id)
    trackers.first.sent.clear()
    quarantine = trackers.first.quarantine_of(CONTENT)
    assert quarantine is not None
    trackers.time.now_s = quarantine.retry_at_s
    deliver = trackers.first.broadcast
    trackers.first.broadcast = lambda report: None
    assert trackers.first.begin_trial(CONTENT)
    trackers.first.broadcast = deliver
    trackers.first.resend()
    assert not trackers.second.begin_trial(CONTENT)


def test_each_report_looks_for_causes_once_at_most() -> None:
    """Guards against entries that stall while a failure domain is lost.

    Each entry with requests in flight there reports each crash three times,
    and a search for the causes grows with the crashes that are known.
    """
    tracker = CrashTracker('own')
    crash = ReportedCrash(CONTENT, 'a@1', late=False, age_s=1.0)
    with mock.patch.object(
        crash_quarantine, 'find_causes', wraps=find_causes
    ) as search:
        tracker.merge(CrashReport('peer', (crash,)))
        assert search.call_count == 1
        for _ in range(2):
            tracker.merge(CrashReport('peer', (crash,)))
        assert search.call_count == 1
