"""Detects requests that crash the endpoints that run them.

Each crash of an endpoint gets a crash id, recorded for the fingerprint of
every request in flight there, and for the parts of its prompt (`part/PLACE/...`)
that other requests may share. Recorded and cleared crashes are grow-only
sets, so processes that merge them in any order agree. A crash id contains the
time of the crash, so that all processes drop it at the same time and
forwarding it can't extend its retention.

Endpoints also crash for other reasons. A request that is confirmed to crash
them may therefore run again, by itself, after a hold time that grows with each
crash. A batch item is owed, and may then even run beside requests that are no
suspects, because a busy endpoint never runs it alone.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final, Literal

from quetzaldyke.parts.crash_causes import Crash, find_causes

CRASH_RETENTION_MS: Final = 3_600_000
CONFIRMING_CRASHES: Final = 3
ALONE_SUFFIX: Final = 'alone'
SUSPECT_HOLD_MS: Final = 30_000
# Growth of the hold with each crash beyond those that confirm a request.
HOLD_FACTOR: Final = 4
MS_IN_S: Final = 1000
# Above that of all parts of a prompt.
CONTENT_SPECIFICITY: Final = 1_000_000

# How a request may run: beside any but 'alone' requests ('clear'), beside
# 'clear' requests only ('apart'), by itself ('alone'), or not at all
# ('confirmed' to crash endpoints).
Verdict = Literal['clear', 'apart', 'alone', 'confirmed']
CrashTable = dict[str, list[str]]


def make_crash_id(wall_ms: int, origin: str, number: int, alone: bool) -> str:
    """Return the id of a crash; `alone` if only one request was running.

    >>> make_crash_id(1700000000000, 'sidecar-1', 3, alone=True)
    '1700000000000/sidecar-1/3/alone'
    """
    suffix = f'/{ALONE_SUFFIX}' if alone else ''
    return f'{wall_ms}/{origin}/{number}{suffix}'


def crash_time_ms(crash_id: str) -> int | None:
    """Return the time of a crash, or None for a malformed id.

    >>> crash_time_ms('17/sidecar-1/3'), crash_time_ms('text')
    (17, None)
    """
    head = crash_id.partition('/')[0]
    return int(head) if head.isdecimal() else None


def crash_origin(crash_id: str) -> str:
    """Return the origin that the crash id was made with.

    >>> crash_origin('17/sidecar-1/3'), crash_origin('17/a/b/3/alone')
    ('sidecar-1', 'a/b')
    """
    rest = crash_id.removesuffix(f'/{ALONE_SUFFIX}').partition('/')[2]
    return rest.rpartition('/')[0]


@dataclass(slots=True)
class SuspectBook:
    """Recorded and cleared crash ids by request fingerprint.

    >>> book = SuspectBook()
    >>> added = book.record('1/s/1', ['f1', 'f2'], now_ms=1)
    >>> book.verdict('f1', now_ms=1), book.verdict('f3', now_ms=1)
    ('apart', 'clear')
    >>> cleared = book.clear('f1')
    >>> book.verdict('f1', now_ms=2)
    'clear'
    """

    crashes: dict[str, set[str]] = field(default_factory=dict)
    cleared: dict[str, set[str]] = field(default_factory=dict)
    # Crashes count for this long.
    retention_ms: int = CRASH_RETENTION_MS

    def record(
        self,
        crash_id: str,
        fingerprints: Iterable[str],
        now_ms: int,
    ) -> CrashTable:
        """Record one crash; return what is new, to send to other processes."""
        crashes = {
            fingerprint: [crash_id]
            for fingerprint in fingerprints
            if fingerprint
        }
        return self.merge(crashes, {}, now_ms)[0]

    def clear(self, fingerprint: str) -> CrashTable:
        """Clear the crashes of a fingerprint whose request finished.

        Returns what was cleared, to send to other processes.
        """
        uncleared_ids = self.uncleared_crashes(fingerprint)
        if not uncleared_ids:
            return {}
        self.cleared.setdefault(fingerprint, set()).update(uncleared_ids)
        return {fingerprint: sorted(uncleared_ids)}

    def merge(
        self,
        crashes: Mapping[str, Iterable[str]],
        cleared: Mapping[str, Iterable[str]],
        now_ms: int,
    ) -> tuple[CrashTable, CrashTable]:
        """Merge the tables of another process; return the ids that were new."""
        return (
            add_new_ids(self.crashes, crashes, now_ms, self.retention_ms),
            add_new_ids(self.cleared, cleared, now_ms, self.retention_ms),
        )

    def uncleared_crashes(self, fingerprint: str) -> set[str]:
        """Return the crash ids of a fingerprint that were not cleared."""
        recorded = self.crashes.get(fingerprint)
        if not recorded:
            return set()
        return recorded - self.cleared.get(fingerprint, set())

    def verdict(self, fingerprint: str, now_ms: int) -> Verdict:
        """Return how a request may run, by its uncleared crashes.

        It is `clear` after none, `apart` after one and `alone` after more. It
        is `confirmed` after `CONFIRMING_CRASHES`, or if the request ran alone
        in a crash after the first, until its hold is over.
        """
        uncleared_ids = self.uncleared_crashes(fingerprint)
        if not uncleared_ids:
            return 'clear'
        confirmed = len(uncleared_ids) >= CONFIRMING_CRASHES
        if confirmed or crashed_alone(uncleared_ids):
            over = now_ms >= held_until_ms(uncleared_ids)
            return 'alone' if over else 'confirmed'
        return 'apart' if len(uncleared_ids) == 1 else 'alone'

    def request_verdict(
        self,
        fingerprint: str,
        parts: Collection[str],
        now_ms: int,
        origin: str = '',
    ) -> Verdict:
        """Return how a request may run, by its own crashes and its parts'.

        Requests with a part that is quarantined are refused for its hold. Then
        the process with the origin of its last crash may try one by itself,
        and after twice the hold, in case that process is gone, any may.
        """
        quarantined = [part for part in parts if self.is_cause(part)]
        if not quarantined:
            return self.verdict(fingerprint, now_ms)
        crash_ids = max(
            (self.uncleared_crashes(part) for part in quarantined),
            key=held_until_ms,
        )
        last_id = max(crash_ids, key=lambda one: crash_time_ms(one) or 0)
        own_until_ms = held_until_ms(crash_ids)
        hold_ms = own_until_ms - (crash_time_ms(last_id) or 0)
        elsewhere = bool(origin) and crash_origin(last_id) != origin
        until_ms = own_until_ms + hold_ms * elsewhere
        return 'confirmed' if now_ms < until_ms else 'alone'

    def is_cause(self, part: str) -> bool:
        """Tell whether a part of prompts explains the crashes it was in."""
        if len(self.uncleared_crashes(part)) < CONFIRMING_CRASHES:
            return False
        crashes = {
            key: [as_crash(one) for one in self.uncleared_crashes(key)]
            for key in self.crashes
        }
        specificity = {key: key_specificity(key) for key in crashes}
        all_ids = {one for ids in self.crashes.values() for one in ids}
        causes = find_causes(
            crashes, specificity, [as_crash(one) for one in all_ids]
        )
        return part in causes

    def item_verdict(
        self,
        fingerprint: str,
        parts: Collection[str],
        now_ms: int,
        origin: str = '',
    ) -> Verdict:
        """Return how a batch item may run, by its own crashes and its parts'.

        Past its hold, it need not run by itself.
        """
        verdict = self.request_verdict(fingerprint, parts, now_ms, origin)
        if verdict != 'alone':
            return verdict
        own_ids = self.uncleared_crashes(fingerprint)
        held = bool(own_ids) and now_ms < held_until_ms(own_ids)
        return 'alone' if held else 'apart'

    def drop_expired(self, now_ms: int) -> None:
        """Drop the crash ids outside the retention time."""
        for table in (self.crashes, self.cleared):
            for fingerprint, ids in list(table.items()):
                ids.difference_update(
                    [
                        crash_id
                        for crash_id in ids
                        if not within_retention(
                            crash_id,
                            now_ms,
                            self.retention_ms,
                        )
                    ],
                )
                if not ids:
                    table.pop(fingerprint)

    def tables(self) -> tuple[CrashTable, CrashTable]:
        """Return the recorded and the cleared crashes.

        They are sent to a process that has just connected.
        """
        return (
            {
                fingerprint: sorted(ids)
                for fingerprint, ids in self.crashes.items()
            },
            {
                fingerprint: sorted(ids)
                for fingerprint, ids in self.cleared.items()
            },
        )


def crashed_alone(crash_ids: Iterable[str]) -> bool:
    """Tell whether this request ran alone in a crash after the first one.

    A first crash in which it ran alone proves little: the endpoint may have
    died for another reason while this was its only request.
    """
    ordered = sorted(
        crash_ids, key=lambda crash_id: crash_time_ms(crash_id) or 0
    )
    return any(
        crash_id.endswith(f'/{ALONE_SUFFIX}') for crash_id in ordered[1:]
    )


def as_crash(crash_id: str) -> Crash:
    """Return a crash as evidence, dated in seconds."""
    seen_s = (crash_time_ms(crash_id) or 0) / MS_IN_S
    return Crash(crash_id, late=False, seen_s=seen_s)


def key_specificity(key: str) -> int:
    """Return how specific a key is; later parts are more so.

    >>> key_specificity('part/2/ab'), key_specificity('ab') > 1000
    (2, True)
    """
    prefix, _, rest = key.partition('/')
    place = rest.partition('/')[0]
    if prefix == 'part' and place.isdecimal():
        return int(place)
    return CONTENT_SPECIFICITY


def held_until_ms(crash_ids: Collection[str]) -> int:
    """Return until when a request is held after its last crash.

    >>> held_until_ms(['5/s/1', '9/s/2']), held_until_ms(['1/s/1'] * 4)
    (30009, 120001)
    """
    last_ms = max(crash_time_ms(crash_id) or 0 for crash_id in crash_ids)
    steps = max(0, len(crash_ids) - CONFIRMING_CRASHES)
    return last_ms + SUSPECT_HOLD_MS * int(HOLD_FACTOR**steps)


def within_retention(crash_id: str, now_ms: int, retention_ms: int) -> bool:
    """Tell whether a crash is within the retention time.

    False for a malformed id, and for a time that far in the future.
    """
    time_ms = crash_time_ms(crash_id)
    return time_ms is not None and abs(now_ms - time_ms) < retention_ms


def add_new_ids(
    table: dict[str, set[str]],
    added: Mapping[str, Iterable[str]],
    now_ms: int,
    retention_ms: int,
) -> CrashTable:
    """Add the ids within retention to a table; return those that were new."""
    new_entries: CrashTable = {}
    for fingerprint, ids in added.items():
        known = table.get(fingerprint, set())
        new_ids = {
            crash_id
            for crash_id in ids
            if within_retention(crash_id, now_ms, retention_ms)
        } - known
        if new_ids:
            table.setdefault(fingerprint, set()).update(new_ids)
            new_entries[fingerprint] = sorted(new_ids)
    return new_entries
