"""Requests that may crash the endpoints that run them.

Each death of an endpoint gets a crash id, recorded for every fingerprint in
flight. The records and the clearances are grow-only sets, so merging them in
any order on any process gives the same book. A crash id holds the time of
the crash, so that every process forgets it at the same moment and passing it
on can't keep it alive.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final, Literal

CRASH_RETENTION_MS: Final = 3_600_000
CONFIRMING_CRASHES: Final = 3
ALONE_MARK: Final = 'alone'

# How a request may run: beside anything, beside no other suspect, or alone.
Verdict = Literal['clear', 'apart', 'alone', 'confirmed']
CrashTable = dict[str, list[str]]


def make_crash_id(wall_ms: int, origin: str, number: int, alone: bool) -> str:
    """Return the id of one crash.

    >>> make_crash_id(1700000000000, 'sidecar-1', 3, alone=True)
    '1700000000000/sidecar-1/3/alone'
    """
    mark = f'/{ALONE_MARK}' if alone else ''
    return f'{wall_ms}/{origin}/{number}{mark}'


def crash_time_ms(crash_id: str) -> int | None:
    """Return the time of a crash, or None for a malformed id.

    >>> crash_time_ms('17/sidecar-1/3'), crash_time_ms('text')
    (17, None)
    """
    head = crash_id.partition('/')[0]
    return int(head) if head.isdecimal() else None


def crash_origin(crash_id: str) -> str:
    """Return what crashed.

    >>> crash_origin('17/sidecar-1/3'), crash_origin('17/a/b/3/alone')
    ('sidecar-1', 'a/b')
    """
    rest = crash_id.removesuffix(f'/{ALONE_MARK}').partition('/')[2]
    return rest.rpartition('/')[0]


@dataclass(slots=True)
class SuspectBook:
    """Crashes by fingerprint, and those that were cleared.

    >>> book = SuspectBook()
    >>> news = book.record('1/s/1', ['f1', 'f2'], now_ms=1)
    >>> book.verdict('f1'), book.verdict('f3')
    ('apart', 'clear')
    >>> news = book.clear('f1')
    >>> book.verdict('f1')
    'clear'
    """

    crashes: dict[str, set[str]] = field(default_factory=dict)
    cleared: dict[str, set[str]] = field(default_factory=dict)
    # For how long crashes count.
    retention_ms: int = CRASH_RETENTION_MS

    def record(
        self,
        crash_id: str,
        fingerprints: Iterable[str],
        now_ms: int,
    ) -> CrashTable:
        """Record one crash and return what to tell the others."""
        crashes = {one: [crash_id] for one in fingerprints if one}
        return self.merge(crashes, {}, now_ms)[0]

    def clear(self, fingerprint: str) -> CrashTable:
        """Clear a suspect that finished and return what to tell."""
        open_ids = self.uncleared_crashes(fingerprint)
        if not open_ids:
            return {}
        self.cleared.setdefault(fingerprint, set()).update(open_ids)
        return {fingerprint: sorted(open_ids)}

    def merge(
        self,
        crashes: Mapping[str, Iterable[str]],
        cleared: Mapping[str, Iterable[str]],
        now_ms: int,
    ) -> tuple[CrashTable, CrashTable]:
        """Add another process's records and return those that were new."""
        return (
            add_new(self.crashes, crashes, now_ms, self.retention_ms),
            add_new(self.cleared, cleared, now_ms, self.retention_ms),
        )

    def uncleared_crashes(self, fingerprint: str) -> set[str]:
        """Return the crashes of a fingerprint that were not cleared."""
        recorded = self.crashes.get(fingerprint)
        if not recorded:
            return set()
        return recorded - self.cleared.get(fingerprint, set())

    def verdict(self, fingerprint: str) -> Verdict:
        """Return how a request may run."""
        open_ids = self.uncleared_crashes(fingerprint)
        if not open_ids:
            return 'clear'
        if len(open_ids) >= CONFIRMING_CRASHES or crashed_alone(open_ids):
            return 'confirmed'
        return 'apart' if len(open_ids) == 1 else 'alone'

    def forget_old(self, now_ms: int) -> None:
        """Drop the records whose time is over."""
        for table in (self.crashes, self.cleared):
            for fingerprint, ids in list(table.items()):
                ids.difference_update(
                    [
                        one
                        for one in ids
                        if not recent(one, now_ms, self.retention_ms)
                    ],
                )
                if not ids:
                    table.pop(fingerprint)

    def tables(self) -> tuple[CrashTable, CrashTable]:
        """Return everything, for a process that just connected."""
        return (
            {one: sorted(ids) for one, ids in self.crashes.items()},
            {one: sorted(ids) for one, ids in self.cleared.items()},
        )


def crashed_alone(crash_ids: Iterable[str]) -> bool:
    """Tell whether a crash after the first one was of this request alone.

    A first crash while alone proves little: an endpoint can die by itself
    under the only request that it runs.
    """
    ordered = sorted(crash_ids, key=lambda one: crash_time_ms(one) or 0)
    return any(one.endswith(f'/{ALONE_MARK}') for one in ordered[1:])


def recent(crash_id: str, now_ms: int, retention_ms: int) -> bool:
    """Tell whether a crash is within the time that records are kept."""
    time_ms = crash_time_ms(crash_id)
    return time_ms is not None and abs(now_ms - time_ms) < retention_ms


def add_new(
    table: dict[str, set[str]],
    added: Mapping[str, Iterable[str]],
    now_ms: int,
    retention_ms: int,
) -> CrashTable:
    """Add ids to a table and return those that it did not have."""
    news: CrashTable = {}
    for fingerprint, ids in added.items():
        known = table.get(fingerprint, set())
        fresh = {
            one for one in ids if recent(one, now_ms, retention_ms)
        } - known
        if fresh:
            table.setdefault(fingerprint, set()).update(fresh)
            news[fingerprint] = sorted(fresh)
    return news
