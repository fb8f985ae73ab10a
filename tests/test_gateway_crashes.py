"""Tests of sharing requests that crash endpoints among the entries."""

from __future__ import annotations

from quetzaldyke.gateway.crashes import (
    CRASH_RETENTION_MS,
    MAX_FINGERPRINTS,
    CrashTracker,
)


class TrackerPair:
    """Crash trackers of two entries that report to each other."""

    def __init__(self) -> None:
        """Connect the two trackers."""
        self.now_ms = 1_000_000
        self.first = CrashTracker(
            self.read_ms, lambda *tables: self.second.merge(*tables)
        )
        self.second = CrashTracker(
            self.read_ms, lambda *tables: self.first.merge(*tables)
        )

    def read_ms(self) -> int:
        """Return the current time."""
        return self.now_ms


def test_crashes_at_several_entries_count_together() -> None:
    """Guards against a request that crashes three endpoints at each entry."""
    trackers = TrackerPair()
    trackers.first.note_crash('f', 'a')
    trackers.second.note_crash('f', 'b')
    assert not trackers.first.is_suspect('f')
    trackers.first.note_crash('f', 'c')
    assert trackers.first.is_suspect('f')
    assert trackers.second.is_suspect('f')


def test_served_request_is_cleared_everywhere() -> None:
    """Guards against refusing a request for crashes of concurrent ones."""
    trackers = TrackerPair()
    for endpoint_id in ('a', 'b', 'c'):
        trackers.first.note_crash('f', endpoint_id)
    trackers.second.note_served('f')
    assert not trackers.first.is_suspect('f')
    trackers.first.note_crash('f', 'd')
    assert not trackers.second.is_suspect('f')


def test_crashes_are_forgotten() -> None:
    """Guards against refusing a request forever."""
    trackers = TrackerPair()
    for endpoint_id in ('a', 'b', 'c'):
        trackers.first.note_crash('f', endpoint_id)
    trackers.now_ms += CRASH_RETENTION_MS + 1
    trackers.second.forget_old()
    assert not trackers.second.is_suspect('f')
    assert not trackers.second.suspects.crashes


def test_memory_is_bounded() -> None:
    """Guards against memory growth during a mass failure."""
    tracker = CrashTracker(lambda: 1_000_000)
    for number in range(MAX_FINGERPRINTS + 10):
        tracker.note_crash(str(number), 'a')
    assert len(tracker.suspects.crashes) == MAX_FINGERPRINTS
    assert '0' not in tracker.suspects.crashes
