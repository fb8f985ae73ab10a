"""Requests that broke every endpoint that ran them.

Load pattern: a single request crashes each endpoint that begins to run it,
and its caller sends it again, to any entry. After it has broken three
endpoints it is refused everywhere, so that it can't take the whole service
down. A request that was merely running beside such a one is cleared when it
is served.
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
# The oldest fingerprints are dropped beyond this.
MAX_FINGERPRINTS: Final = 5_000


def make_suspect_book() -> SuspectBook:
    """Return an empty book of crashes."""
    return SuspectBook(kept_ms=CRASH_RETENTION_MS)


@dataclass(slots=True)
class CrashTracker:
    """Endpoints that broke while they ran a request, by fingerprint.

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
    # Tells the other entries what is new: crashes, and those cleared.
    broadcast: Callable[[CrashTable, CrashTable], None] = lambda *news: None
    suspects: SuspectBook = field(default_factory=make_suspect_book)
    # Numbers the crashes that this entry saw.
    crash_count: int = 0

    def note_crash(self, fingerprint: str, endpoint_id: str) -> None:
        """An endpoint broke off while it ran a request."""
        now_ms = self.now_ms()
        self.crash_count += 1
        crash_id = make_crash_id(
            now_ms, endpoint_id, self.crash_count, alone=False
        )
        self.broadcast(
            self.suspects.record(crash_id, [fingerprint], now_ms), {}
        )
        self.drop_oldest()

    def note_served(self, fingerprint: str) -> None:
        """An endpoint ran a request to its end."""
        cleared = self.suspects.clear(fingerprint)
        if cleared:
            self.broadcast({}, cleared)

    def merge(self, crashes: CrashTable, cleared: CrashTable) -> None:
        """Take over what another entry saw."""
        self.suspects.merge(crashes, cleared, self.now_ms())
        self.drop_oldest()

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether a request broke too many endpoints lately."""
        crash_ids = self.suspects.open_crashes(fingerprint)
        crashed = {crash_origin(one) for one in crash_ids}
        return len(crashed) >= MIN_CRASHED_ENDPOINTS

    def forget_old(self) -> None:
        """Drop what is too old to count."""
        self.suspects.forget_old(self.now_ms())

    def drop_oldest(self) -> None:
        """Drop the oldest fingerprints beyond the limit."""
        for table in (self.suspects.crashes, self.suspects.cleared):
            while len(table) > MAX_FINGERPRINTS:
                del table[next(iter(table))]
