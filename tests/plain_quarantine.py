"""Computes the verdicts on crashing traits anew from all that was recorded.

This is the straightforward form of `CrashQuarantine`: no score, no count and
no verdict is kept between calls. Tests compare the two.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from quetzaldyke.parts.crash_causes import (
    EXPLAINED_SHARE,
    LATE_SCORE,
    MIXED_SCORE,
    QUARANTINE_SCORE,
    SAME_CAUSE_S,
    Crash,
    Trait,
    hold_s,
)
from quetzaldyke.parts.crash_evidence import Quarantine
from quetzaldyke.parts.crash_quarantine import RETENTION_S


def plain_count(crashes: Iterable[Crash]) -> int:
    """Return the number of causes of some crashes."""
    count = 0
    start_s = -math.inf
    for crash in sorted(crashes, key=lambda one: one.seen_s):
        sent_after = crash.seen_s - crash.age_s > start_s
        if sent_after or crash.seen_s - start_s > SAME_CAUSE_S:
            count += 1
            start_s = crash.seen_s
    return count


def plain_score(crashes: Collection[Crash]) -> float:
    """Return the score of some crashes."""
    early = plain_count(crash for crash in crashes if not crash.late)
    late = plain_count(crash for crash in crashes if crash.late)
    return max(float(early), LATE_SCORE * late)


def plain_needed(
    crashes: Collection[Crash], everything: Collection[Crash]
) -> float:
    """Return the score that a trait with some crashes needs."""
    first_s = min(crash.seen_s for crash in crashes) - SAME_CAUSE_S
    last_s = max(crash.seen_s for crash in crashes) + SAME_CAUSE_S
    services = {crash.service for crash in crashes}
    meanwhile = plain_count(
        crash
        for crash in everything
        if first_s <= crash.seen_s <= last_s and crash.service in services
    )
    share = plain_count(crashes) / max(1, meanwhile)
    return QUARANTINE_SCORE if share >= EXPLAINED_SHARE else MIXED_SCORE


def plain_causes(
    unexplained: dict[str, list[Crash]], specificity: Mapping[str, int]
) -> list[str]:
    """Return the causes in the order in which they explain most."""
    causes = []
    while unexplained:
        score, _, best = max(
            (plain_score(crashes), specificity[key], key)
            for key, crashes in unexplained.items()
        )
        if score < QUARANTINE_SCORE:
            break
        causes.append(best)
        explained = {crash.lifetime for crash in unexplained.pop(best)}
        unexplained = {
            key: [one for one in crashes if one.lifetime not in explained]
            for key, crashes in unexplained.items()
        }
    return causes


@dataclass(slots=True)
class PlainEvidence:
    """What is known of one trait."""

    specificity: int = 0
    crashes: dict[str, Crash] = field(default_factory=dict)
    cleared_s: dict[str, float] = field(default_factory=dict)
    tried_s: float = 0.0
    confirmed: bool = False

    def uncleared(self) -> list[Crash]:
        """Return the crashes that count."""
        return [
            crash
            for lifetime, crash in self.crashes.items()
            if lifetime not in self.cleared_s
        ]

    def clear(self, lifetimes: Iterable[str], now_s: float) -> None:
        """Clear the crashes of some lifetimes."""
        for lifetime in lifetimes:
            self.cleared_s.setdefault(lifetime, now_s)
        self.confirmed = self.confirmed and bool(self.uncleared())

    def clear_early(self, now_s: float) -> None:
        """Clear the early crashes."""
        self.clear([c.lifetime for c in self.uncleared() if not c.late], now_s)


@dataclass(slots=True)
class PlainQuarantine:
    """All evidence by trait, in the order in which traits were seen."""

    max_traits: int
    evidence: dict[str, PlainEvidence] = field(default_factory=dict)
    crashes: dict[str, Crash] = field(default_factory=dict)
    quarantined: dict[str, Quarantine] = field(default_factory=dict)

    def record(self, traits: Iterable[Trait], crash: Crash) -> None:
        """Record a crash."""
        self.crashes.setdefault(crash.lifetime, crash)
        for trait in traits:
            known = self.evidence.setdefault(trait.key, PlainEvidence())
            known.specificity = trait.specificity
            before = known.crashes.get(crash.lifetime)
            if crash.late and (before is None or not before.late):
                known.clear_early(crash.seen_s)
                known.crashes[crash.lifetime] = crash
            known.crashes.setdefault(crash.lifetime, crash)
        droppable = [
            key for key in self.evidence if key not in self.quarantined
        ]
        for key in droppable[: max(0, len(self.evidence) - self.max_traits)]:
            del self.evidence[key]
        self.refresh()

    def confirm(self, trait: Trait, crashes: Iterable[Crash]) -> None:
        """Confirm a trait for some crashes."""
        self.evidence.setdefault(trait.key, PlainEvidence()).confirmed = True
        for crash in crashes:
            self.record([trait], crash)

    def merge_cleared(
        self, cleared: Mapping[str, list[str]], now_s: float
    ) -> None:
        """Clear traits of some crashes."""
        for key, lifetimes in cleared.items():
            if lifetimes:
                known = self.evidence.setdefault(key, PlainEvidence())
                known.clear(lifetimes, now_s)
        self.refresh()

    def clear_early(self, key: str, now_s: float) -> None:
        """Clear a trait of its early crashes."""
        if key in self.evidence:
            self.evidence[key].clear_early(now_s)
        self.refresh()

    def note_trial(self, key: str, now_s: float) -> None:
        """Start the hold of a trait anew."""
        if key in self.evidence:
            self.evidence[key].tried_s = now_s
        self.refresh()

    def drop_expired(self, now_s: float) -> None:
        """Drop what is past its retention."""
        oldest_s = now_s - RETENTION_S
        for key, known in list(self.evidence.items()):
            quarantine = self.quarantined.get(key)
            if quarantine is not None and quarantine.retry_at_s > oldest_s:
                continue
            known.crashes = {
                lifetime: crash
                for lifetime, crash in known.crashes.items()
                if crash.seen_s >= oldest_s
            }
            known.cleared_s = {
                lifetime: cleared_s
                for lifetime, cleared_s in known.cleared_s.items()
                if cleared_s >= oldest_s or lifetime in known.crashes
            }
            if not known.crashes and not known.cleared_s:
                del self.evidence[key]
        self.crashes = {
            lifetime: crash
            for lifetime, crash in self.crashes.items()
            if crash.seen_s >= oldest_s
        }
        self.refresh()

    def refresh(self) -> None:
        """Find the quarantined traits among all evidence."""
        found = {}
        for key, known in self.evidence.items():
            crashes = known.uncleared()
            if len(crashes) < QUARANTINE_SCORE:
                continue
            needed = QUARANTINE_SCORE
            if not known.confirmed:
                needed = plain_needed(crashes, self.crashes.values())
            if plain_score(crashes) >= needed:
                found[key] = crashes
        causes = plain_causes(
            dict(found),
            {key: self.evidence[key].specificity for key in found},
        )
        self.quarantined = {
            key: self.quarantine(key, found[key]) for key in causes
        }

    def quarantine(self, key: str, crashes: list[Crash]) -> Quarantine:
        """Return the quarantine of a trait for some crashes."""
        score = plain_score(crashes)
        last_s = max(crash.seen_s for crash in crashes)
        return Quarantine(
            key,
            score,
            tuple(sorted(crash.lifetime for crash in crashes)),
            max(last_s, self.evidence[key].tried_s) + hold_s(score),
        )
