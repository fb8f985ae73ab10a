"""Keeps the crashes of endpoints that had requests with one trait in flight.

A crash counts once for each lifetime of an endpoint, and no longer once the
trait is cleared of it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from quetzaldyke.parts.crash_causes import Crash, hold_s
from quetzaldyke.parts.crash_tally import CrashTally


@dataclass(slots=True)
class TraitEvidence:
    """Crashes of endpoints that had requests with one trait in flight."""

    specificity: int = 0
    crashes: dict[str, Crash] = field(default_factory=dict)
    # When each lifetime's crash turned out to be due to something else.
    cleared_s: dict[str, float] = field(default_factory=dict)
    tried_s: float = 0.0
    # Whether another process has found the trait to be a cause.
    confirmed: bool = False
    # The crashes that count, by lifetime, and their tally.
    counted: dict[str, Crash] = field(default_factory=dict)
    tally: CrashTally = field(default_factory=CrashTally)

    def uncleared(self) -> list[Crash]:
        """Return the crashes that count."""
        return list(self.counted.values())

    def add(self, crash: Crash) -> bool:
        """Add a crash, unless that lifetime's crash is known already.

        A late one shows that the trait is not the cause of the early ones.
        Returns whether the crash says anything new.
        """
        known = self.crashes.get(crash.lifetime)
        if known is not None and (known.late or not crash.late):
            return False
        if crash.late:
            self.clear_early(crash.seen_s)
        self.crashes[crash.lifetime] = crash
        if crash.lifetime not in self.cleared_s:
            self.counted[crash.lifetime] = crash
            if crash.seen_s >= self.tally.last_s:
                self.tally.add(crash)
            else:
                self.count_again()
        return True

    def clear_early(self, now_s: float) -> list[str]:
        """Clear the crashes before which there had been no progress.

        Returns the lifetimes.
        """
        lifetimes = (
            [one.lifetime for one in self.uncleared() if not one.late]
            if self.tally.early.count
            else []
        )
        self.clear(lifetimes, now_s)
        return lifetimes

    def clear(self, lifetimes: Iterable[str], now_s: float) -> None:
        """Clear the crashes of some lifetimes."""
        before = len(self.counted)
        for lifetime in lifetimes:
            self.cleared_s.setdefault(lifetime, now_s)
            self.counted.pop(lifetime, None)
        if len(self.counted) != before:
            self.count_again()
        self.confirmed = self.confirmed and bool(self.counted)

    def drop_before(self, time_s: float) -> None:
        """Drop what was seen before a time."""
        self.crashes = {
            lifetime: crash
            for lifetime, crash in self.crashes.items()
            if crash.seen_s >= time_s
        }
        self.cleared_s = {
            lifetime: cleared_s
            for lifetime, cleared_s in self.cleared_s.items()
            if cleared_s >= time_s or lifetime in self.crashes
        }
        before = len(self.counted)
        self.counted = {
            lifetime: crash
            for lifetime, crash in self.counted.items()
            if lifetime in self.crashes
        }
        if len(self.counted) != before:
            self.count_again()

    def count_again(self) -> None:
        """Count all crashes, after one that was not the latest changed."""
        self.tally = CrashTally.of(self.counted.values())


@dataclass(frozen=True, slots=True)
class Quarantine:
    """A quarantined trait: the score of its crashes, when to try it."""

    key: str
    score: float
    lifetimes: tuple[str, ...]
    retry_at_s: float


def make_quarantine(key: str, known: TraitEvidence) -> Quarantine:
    """Return the quarantine of a trait for the evidence against it."""
    score = known.tally.score()
    return Quarantine(
        key,
        score,
        tuple(sorted(known.counted)),
        max(known.tally.last_s, known.tried_s) + hold_s(score),
    )
