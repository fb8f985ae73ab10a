"""Finds what the requests that crash endpoints have in common.

When an endpoint crashes, every request in flight there is a suspect, and so
is everything that it shares with other requests, its traits. Those that are
not cleared and that `parts/crash_causes.py` finds to explain the crashes are
quarantined.

A request crashes endpoints as soon as its response begins, or always at a
later point. A crash is early evidence against the requests whose response had
made no progress, and late evidence, which weighs less, against the others.
Progress of any request clears its traits of early evidence, also if it then
ends in a crash; a served request clears them of all. So requests that only ran
beside a crashing one are soon cleared. While endpoints also crash for other
reasons, which hits a common trait by chance, more evidence is needed.

A quarantined trait is refused for a hold time that grows with each further
crash. After it one request with the trait is let through as a trial, so that a
trait that was quarantined for crashes with another cause comes back into use.

The causes are looked for again only when evidence has changed that matters:
a trait with enough crashes has one more or less, or an endpoint crashed of
which no crash was known. Repeated reports change nothing.

Processes exchange what they see. Crashes are identified by the lifetime of
the endpoint, so processes that saw the same crash count it once. Ages are
measured from when this process learned of a crash, not by wall clocks.
"""

from __future__ import annotations

import itertools
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.parts.crash_causes import (
    MIXED_SCORE,
    QUARANTINE_SCORE,
    SAME_CAUSE_S,
    Crash,
    Trait,
    find_causes,
)
from quetzaldyke.parts.crash_evidence import (
    Quarantine,
    TraitEvidence,
    make_quarantine,
)
from quetzaldyke.parts.crash_tally import CrashTimeline

# Evidence is kept for this long after the last crash, trial or hold.
RETENTION_S: Final = 600.0
# Bounds the memory; the traits that were seen first are dropped first.
MAX_TRAITS: Final = 5_000


@dataclass(slots=True)
class CrashQuarantine:
    """Evidence by trait, and the traits that are quarantined.

    >>> quarantine = CrashQuarantine()
    >>> for number, lifetime in enumerate('abc'):
    ...     traits = [Trait(f'body-{number}', 2), Trait('part', 1)]
    ...     quarantine.record(traits, Crash(lifetime, False, float(number)))
    >>> list(quarantine.quarantined)
    ['part']
    >>> quarantine.clear(['part'], now_s=3.0)
    {'part': ['a', 'b', 'c']}
    >>> list(quarantine.quarantined)
    []
    """

    # Ordered by the time at which each trait was first seen.
    evidence: OrderedDict[str, TraitEvidence] = field(
        default_factory=OrderedDict
    )
    # The first report of the crash of each lifetime.
    crashes: dict[str, Crash] = field(default_factory=dict)
    timeline: CrashTimeline = field(default_factory=CrashTimeline)
    # Traits with enough crashes to be quarantined by their number.
    candidates: set[str] = field(default_factory=set)
    # Candidates whose score is high enough for the other crashes meanwhile.
    sufficient: set[str] = field(default_factory=set)
    # Candidates for which the other crashes meanwhile matter.
    contested: set[str] = field(default_factory=set)
    # Candidates that have changed, and new crashes, since the last search.
    changed: set[str] = field(default_factory=set)
    added: list[Crash] = field(default_factory=list)
    quarantined: dict[str, Quarantine] = field(default_factory=dict)

    def record(self, traits: Iterable[Trait], crash: Crash) -> None:
        """Record that an endpoint crashed with a request in flight."""
        self.add_crashes([(traits, crash)])
        self.refresh()

    def merge(
        self,
        crashes: Iterable[tuple[Iterable[Trait], Crash]],
        cleared: Mapping[str, list[str]],
        tried: Iterable[str],
        now_s: float,
    ) -> None:
        """Apply what another process has seen, with one search at most."""
        self.add_crashes(crashes)
        self.add_cleared(cleared, now_s)
        self.add_trials(tried, now_s)
        self.refresh()

    def add_crashes(
        self, crashes: Iterable[tuple[Iterable[Trait], Crash]]
    ) -> None:
        """Record crashes, each with the traits of a request in flight."""
        for traits, crash in crashes:
            if crash.lifetime not in self.crashes:
                self.crashes[crash.lifetime] = crash
                self.timeline.add(crash)
                self.added.append(crash)
            for trait in traits:
                self.add_evidence(trait, crash)
            self.drop_oldest()

    def add_evidence(self, trait: Trait, crash: Crash) -> None:
        """Record that a request with a trait was in flight at a crash."""
        known = self.evidence.setdefault(trait.key, TraitEvidence())
        new = known.add(crash) or known.specificity != trait.specificity
        known.specificity = trait.specificity
        if new:
            self.note_change(trait.key)

    def note_change(self, key: str) -> None:
        """Note that the evidence against a trait has changed."""
        known = self.evidence.get(key)
        enough = known is not None and len(known.counted) >= QUARANTINE_SCORE
        if enough or key in self.candidates:
            self.changed.add(key)

    def confirm(
        self, trait: Trait, crashes: Iterable[tuple[str, bool]], now_s: float
    ) -> None:
        """Adopt the quarantine of a trait for crashes that others have seen.

        Each crash is given as its lifetime and whether it was late. They were
        found to have different causes, so they are dated apart.
        """
        self.evidence.setdefault(trait.key, TraitEvidence()).confirmed = True
        self.note_change(trait.key)
        late_first = sorted(crashes, key=lambda crash: not crash[1])
        self.add_crashes(
            (
                [trait],
                Crash(lifetime, late, now_s - 2 * SAME_CAUSE_S * place),
            )
            for place, (lifetime, late) in enumerate(late_first)
        )
        self.refresh()

    def clear(self, keys: Iterable[str], now_s: float) -> dict[str, list[str]]:
        """Clear traits of all crashes, as a request with them was served.

        Returns what was cleared, to send to other processes.
        """
        cleared = {
            key: sorted(one.lifetime for one in self.evidence[key].uncleared())
            for key in keys
            if key in self.evidence
        }
        return self.merge_cleared(cleared, now_s)

    def clear_early(
        self, keys: Iterable[str], now_s: float
    ) -> dict[str, list[str]]:
        """Clear traits of early evidence, as a request made progress.

        Returns what was cleared, to send to other processes.
        """
        cleared = {
            key: sorted(self.evidence[key].clear_early(now_s))
            for key in keys
            if key in self.evidence
        }
        return self.merge_cleared(cleared, now_s)

    def merge_cleared(
        self, cleared: Mapping[str, list[str]], now_s: float
    ) -> dict[str, list[str]]:
        """Clear traits of the crashes of some lifetimes.

        Returns the entries that are not empty.
        """
        found = {key: ids for key, ids in cleared.items() if ids}
        self.add_cleared(found, now_s)
        self.refresh()
        return found

    def add_cleared(
        self, cleared: Mapping[str, list[str]], now_s: float
    ) -> None:
        """Clear traits of crashes; without a search."""
        for key, lifetimes in cleared.items():
            if lifetimes:
                known = self.evidence.setdefault(key, TraitEvidence())
                known.clear(lifetimes, now_s)
                self.note_change(key)

    def note_trial(self, keys: Iterable[str], now_s: float) -> None:
        """Start the hold time of some traits anew, as one of them is tried."""
        self.add_trials(keys, now_s)
        self.refresh()

    def add_trials(self, keys: Iterable[str], now_s: float) -> None:
        """Note that some traits are tried; without a search."""
        for key in keys:
            if key in self.evidence:
                self.evidence[key].tried_s = now_s
                self.note_change(key)

    def quarantine_of(self, keys: Iterable[str]) -> Quarantine | None:
        """Return the quarantine of the traits that is held longest, or None."""
        found = [
            self.quarantined[key] for key in keys if key in self.quarantined
        ]
        return max(found, key=lambda one: one.retry_at_s, default=None)

    def refresh(self) -> None:
        """Find out anew which traits are quarantined, if any may differ."""
        if not self.changed and not self.added:
            return
        for crash in self.added:
            self.changed.update(
                key
                for key in self.contested - self.changed
                if self.evidence[key].tally.is_beside(crash)
            )
        before = self.changed & self.sufficient
        for key in self.changed:
            self.assess(key)
        if self.added or before or not self.changed.isdisjoint(self.sufficient):
            self.search()
        self.changed.clear()
        self.added.clear()

    def search(self) -> None:
        """Choose among the traits whose evidence is sufficient."""
        found = {key: self.evidence[key] for key in self.sufficient}
        causes = find_causes(
            {key: known.counted.values() for key, known in found.items()},
            {key: known.specificity for key, known in found.items()},
            confirmed=self.sufficient,
            scores={key: known.tally.score() for key, known in found.items()},
        )
        self.quarantined = {
            key: make_quarantine(key, found[key])
            if key in self.changed or key not in self.quarantined
            else self.quarantined[key]
            for key in causes
        }

    def assess(self, key: str) -> None:
        """Tell anew whether the evidence against a trait is sufficient."""
        for keys in (self.candidates, self.sufficient, self.contested):
            keys.discard(key)
        known = self.evidence.get(key)
        if known is None or len(known.counted) < QUARANTINE_SCORE:
            return
        self.candidates.add(key)
        score = known.tally.score()
        if score < QUARANTINE_SCORE:
            return
        needed = QUARANTINE_SCORE
        if score < MIXED_SCORE and not known.confirmed:
            self.contested.add(key)
            needed = self.timeline.needed_score(known.tally)
        if score >= needed:
            self.sufficient.add(key)

    def drop_expired(self, now_s: float) -> None:
        """Drop evidence that is past its retention.

        That against a quarantined trait is kept until it has been held.
        """
        oldest_s = now_s - RETENTION_S
        for key, known in list(self.evidence.items()):
            held = (
                key in self.quarantined
                and self.quarantined[key].retry_at_s > oldest_s
            )
            if held:
                continue
            known.drop_before(oldest_s)
            if not known.crashes and not known.cleared_s:
                del self.evidence[key]
        self.crashes = {
            lifetime: crash
            for lifetime, crash in self.crashes.items()
            if crash.seen_s >= oldest_s
        }
        self.timeline = CrashTimeline.of(self.crashes.values())
        self.changed |= self.candidates
        self.refresh()

    def drop_oldest(self) -> None:
        """Drop the oldest traits that aren't quarantined above the maximum."""
        excess = max(0, len(self.evidence) - MAX_TRAITS)
        droppable = (
            key for key in self.evidence if key not in self.quarantined
        )
        for key in list(itertools.islice(droppable, excess)):
            del self.evidence[key]
            self.note_change(key)
