"""Tracks requests that crash the endpoints that run them.

A single request can crash each endpoint that starts to run it, while its
caller retries it at any entry. After it has crashed three endpoints, all
entries refuse it, so that it can't take down the whole service. A request that
only ran concurrently with such a request is cleared when it is served.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.parts.hlc import wall_clock_ms
from quetzaldyke.parts.suspects import (
    CrashTable,
    SuspectBook,
    crash_origin,
    make_crash_id,
)

MIN_CRASHED_ENDPOINTS: Final = 3
CRASH_RETENTION_MS: Final = 300_000
# Bounds the memory; the oldest fingerprints are dropped first.
MAX_FINGERPRINTS: Final = 5_000


def make_suspect_book() -> SuspectBook:
    """Return an empty table of suspects with this module's retention."""
    return SuspectBook(retention_ms=CRASH_RETENTION_MS)


@dataclass(slots=True)
class CrashTracker:
    """Crashes by request fingerprint, shared by all entries.

    >>> tracker = CrashTracker(now_ms=lambda: 1000)
    >>> for endpoint_id in ('a', 'b', 'b'):
    ...     tracker.note_crash('f', endpoint_id)
    >>> tracker.is_suspect('f')
    False
    >>> tracker.note_crash('f', 'c')
    >>> tracker.is_suspect('f')
    True
    """

    now_ms: Callable[[], int] = wall_clock_ms
    # Sends new crashes and newly cleared ones to the other entries.
    broadcast: Callable[[CrashTable, CrashTable], None] = lambda *tables: None
    suspects: SuspectBook = field(default_factory=make_suspect_book)
    # Crashes seen by this entry; makes the crash ids unique.
    crash_count: int = 0

    def note_crash(self, fingerprint: str, endpoint_id: str) -> None:
        """Record a connection that broke during a request as a crash."""
        now_ms = self.now_ms()
        self.crash_count += 1
        crash_id = make_crash_id(
            now_ms, endpoint_id, self.crash_count, alone=False
        )
        self.broadcast(
            self.suspects.record(crash_id, [fingerprint], now_ms), {}
        )
        self.drop_oldest()

    def note_served(self, fingerprint: str) -> int:
        """Clear a request of its crashes, as an endpoint has served it.

        Returns how many crashes were cleared.
        """
        cleared = self.suspects.clear(fingerprint)
        if cleared:
            self.broadcast({}, cleared)
        return len(cleared.get(fingerprint, ()))

    def merge(self, crashes: CrashTable, cleared: CrashTable) -> None:
        """Merge the records of another entry."""
        self.suspects.merge(crashes, cleared, self.now_ms())
        self.drop_oldest()

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether a request has recently crashed too many endpoints."""
        return self.crashed_endpoints(fingerprint) >= MIN_CRASHED_ENDPOINTS

    def crashed_endpoints(self, fingerprint: str) -> int:
        """Return how many endpoints a request has recently crashed."""
        crash_ids = self.suspects.uncleared_crashes(fingerprint)
        return len({crash_origin(crash_id) for crash_id in crash_ids})

    def forget_old(self) -> None:
        """Drop crashes that are past their retention."""
        self.suspects.forget_old(self.now_ms())

    def drop_oldest(self) -> None:
        """Drop the oldest fingerprints above the maximum."""
        for table in (self.suspects.crashes, self.suspects.cleared):
            while len(table) > MAX_FINGERPRINTS:
                del table[next(iter(table))]
