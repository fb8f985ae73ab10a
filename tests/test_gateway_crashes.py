"""Requests that crash endpoints are known at every entry."""

from __future__ import annotations

from quetzaldyke.gateway.crashes import (
    CRASH_RETENTION_MS,
    MAX_FINGERPRINTS,
    CrashTracker,
)


class Fleet:
    """Two entries that tell each other of crashes."""

    def __init__(self) -> None:
        """Connect the books of two entries."""
        self.now_ms = 1_000_000
        self.one = CrashTracker(
            self.read_ms, lambda *news: self.two.merge(*news)
        )
        self.two = CrashTracker(
            self.read_ms, lambda *news: self.one.merge(*news)
        )

    def read_ms(self) -> int:
        """Return the present time."""
        return self.now_ms


def test_crashes_at_several_entries_count_together() -> None:
    """Guards against a request that breaks three endpoints at each entry."""
    fleet = Fleet()
    fleet.one.note_crash('f', 'a')
    fleet.two.note_crash('f', 'b')
    assert not fleet.one.is_suspect('f')
    fleet.one.note_crash('f', 'c')
    assert fleet.one.is_suspect('f')
    assert fleet.two.is_suspect('f')


def test_request_that_is_served_is_cleared_everywhere() -> None:
    """Guards against a common request that is refused for its neighbours."""
    fleet = Fleet()
    for endpoint_id in ('a', 'b', 'c'):
        fleet.one.note_crash('f', endpoint_id)
    fleet.two.note_served('f')
    assert not fleet.one.is_suspect('f')
    fleet.one.note_crash('f', 'd')
    assert not fleet.two.is_suspect('f')


def test_crashes_are_forgotten() -> None:
    """Guards against refusing a request for ever."""
    fleet = Fleet()
    for endpoint_id in ('a', 'b', 'c'):
        fleet.one.note_crash('f', endpoint_id)
    fleet.now_ms += CRASH_RETENTION_MS + 1
    fleet.two.forget_old()
    assert not fleet.two.is_suspect('f')
    assert not fleet.two.suspects.crashes


def test_memory_is_bounded() -> None:
    """Guards against a book that a mass failure fills."""
    tracker = CrashTracker(lambda: 1_000_000)
    for number in range(MAX_FINGERPRINTS + 10):
        tracker.note_crash(str(number), 'a')
    assert len(tracker.suspects.crashes) == MAX_FINGERPRINTS
    assert '0' not in tracker.suspects.crashes
