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

SUSPECT_ENDPOINTS: Final = 3
KEPT_MS: Final = 300_000
# The oldest fingerprints are dropped beyond this.
MAX_FINGERPRINTS: Final = 5_000


def make_book() -> SuspectBook:
    """Return an empty book of crashes."""
    return SuspectBook(retention_ms=KEPT_MS)


@dataclass(slots=True)
class CrashBook:
    """Endpoints that broke while they ran a request, by fingerprint.

    >>> book = CrashBook(now_ms=lambda: 1000)
    >>> for endpoint_id in ('a', 'b', 'b'):
    ...     book.note('f', endpoint_id)
    >>> book.is_suspect('f')
    False
    >>> book.note('f', 'c')
    >>> book.is_suspect('f')
    True
    """

    now_ms: Callable[[], int] = wall_clock_ms
    # Tells the other entries what is new: crashes, and those cleared.
    tell: Callable[[CrashTable, CrashTable], None] = lambda *news: None
    book: SuspectBook = field(default_factory=make_book)
    # Numbers the crashes that this entry saw.
    number: int = 0

    def note(self, fingerprint: str, endpoint_id: str) -> None:
        """An endpoint broke off while it ran a request."""
        now_ms = self.now_ms()
        self.number += 1
        crash_id = make_crash_id(now_ms, endpoint_id, self.number, alone=False)
        self.tell(self.book.record(crash_id, [fingerprint], now_ms), {})
        self.limit()

    def note_served(self, fingerprint: str) -> None:
        """An endpoint ran a request to its end."""
        cleared = self.book.clear(fingerprint)
        if cleared:
            self.tell({}, cleared)

    def merge(self, crashes: CrashTable, cleared: CrashTable) -> None:
        """Take over what another entry saw."""
        self.book.merge(crashes, cleared, self.now_ms())
        self.limit()

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether a request broke too many endpoints lately."""
        crash_ids = self.book.uncleared_crashes(fingerprint)
        broken = {crash_origin(one) for one in crash_ids}
        return len(broken) >= SUSPECT_ENDPOINTS

    def forget_old(self) -> None:
        """Drop what is too old to count."""
        self.book.forget_old(self.now_ms())

    def limit(self) -> None:
        """Drop the oldest fingerprints beyond the limit."""
        for table in (self.book.crashes, self.book.cleared):
            while len(table) > MAX_FINGERPRINTS:
                del table[next(iter(table))]
