"""Finds what the requests that crash endpoints have in common.

When an endpoint crashes, every request in flight there is a suspect, and so
is everything that it shares with other requests: a whole content that callers
send again, or a part of a prompt. These are its traits. Of the traits that are
not cleared, the fewest that explain the crashes are blamed, and of traits that
explain the same crashes the most specific one, because refusing it affects the
fewest requests.

A request crashes endpoints as soon as its response begins, or always at a
later point. A crash is early evidence against the requests whose response had
made no progress, and late evidence, which weighs less, against the others.
Progress of any request clears its traits of early evidence, also if it then
ends in a crash; a served request clears them of all. So requests that only ran
beside a crashing one are soon cleared.
While endpoints also crash for other reasons, which hits a common trait by
chance, more evidence is needed.

A blamed trait is refused for a hold time that grows with each further crash.
After it one request with the trait is let through as a trial, so that a trait
that was blamed for crashes with another cause comes back into use.

Processes exchange what they see. Crashes are identified by the lifetime of
the endpoint, so processes that saw the same crash count it once. Ages are
measured from when this process learned of a crash, not by wall clocks.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

BLAME_SCORE: Final = 3.0
# Needed if a trait explains less than the share of the crashes in its time.
MIXED_BLAME_SCORE: Final = 6.0
EXPLAINED_SHARE: Final = 0.7
# Score of a crash during a response that had made progress. Most of the
# requests in flight at a crash are in this state.
LATE_SCORE: Final = 0.5
# Endpoints that end within this time, under requests that ran at the same time,
# are taken to share a cause such as the loss of a rack, and count as one crash.
SAME_CAUSE_S: Final = 0.03
# Short at first, for a trait that was blamed for crashes with another cause;
# each further crash makes that less likely.
FIRST_HOLD_S: Final = 3.0
HOLD_FACTOR: Final = 4.0
MAX_HOLD_S: Final = 3_600.0
# Evidence is kept for this long after the last crash, trial or hold.
RETENTION_S: Final = 600.0
# Bounds the memory; the traits that were seen first are dropped first.
MAX_TRAITS: Final = 5_000


@dataclass(frozen=True, slots=True)
class Trait:
    """Something that several requests can share."""

    key: str
    # The higher, the fewer requests are expected to share it.
    specificity: int


@dataclass(frozen=True, slots=True)
class Crash:
    """A crash as evidence against one trait."""

    # One lifetime of an endpoint, which can crash only once.
    lifetime: str
    # Whether the response had made progress.
    late: bool
    # When this process learned of it.
    seen_s: float
    # For how long the request had been in flight there.
    age_s: float = math.inf


@dataclass(slots=True)
class TraitEvidence:
    """Crashes of endpoints that had requests with one trait in flight."""

    specificity: int = 0
    crashes: dict[str, Crash] = field(default_factory=dict)
    # When each lifetime's crash turned out to be due to something else.
    cleared_s: dict[str, float] = field(default_factory=dict)
    tried_s: float = 0.0

    def uncleared(self) -> list[Crash]:
        """Return the crashes that count."""
        return [
            crash
            for lifetime, crash in self.crashes.items()
            if lifetime not in self.cleared_s
        ]

    def add(self, crash: Crash) -> None:
        """Add a crash, unless that lifetime's crash is known already."""
        if crash.late:
            self.clear_early(crash.seen_s)
        self.crashes.setdefault(crash.lifetime, crash)

    def clear_early(self, now_s: float) -> list[str]:
        """Clear the crashes before which there had been no progress.

        Returns the lifetimes.
        """
        lifetimes = [one.lifetime for one in self.uncleared() if not one.late]
        self.clear(lifetimes, now_s)
        return lifetimes

    def clear(self, lifetimes: Iterable[str], now_s: float) -> None:
        """Clear the crashes of some lifetimes."""
        for lifetime in lifetimes:
            self.cleared_s.setdefault(lifetime, now_s)

    def forget_before(self, time_s: float) -> None:
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


@dataclass(frozen=True, slots=True)
class Blame:
    """A blamed trait: the score of its crashes and when it may be tried."""

    key: str
    score: float
    lifetimes: tuple[str, ...]
    retry_at_s: float


def crash_score(crashes: Collection[Crash]) -> float:
    """Return how much some crashes say against a trait.

    A trait crashes endpoints early or late, so the evidence does not add up.

    >>> crash_score([Crash('a', False, 1.0), Crash('b', True, 2.0)])
    1.0
    """
    early = [crash for crash in crashes if not crash.late]
    late = [crash for crash in crashes if crash.late]
    return max(float(count_causes(early)), LATE_SCORE * count_causes(late))


def count_causes(crashes: Iterable[Crash]) -> int:
    """Return the number of crashes; those at the same time count as one.

    A request that was sent after a crash, such as a retry, doesn't share the
    cause of that crash.

    >>> count_causes([Crash('a', False, 1.0), Crash('b', False, 1.01)])
    1
    >>> count_causes([Crash('a', False, 1.0), Crash('b', False, 1.01, 0.005)])
    2
    """
    count = 0
    group_start_s = -math.inf
    for crash in sorted(crashes, key=lambda one: one.seen_s):
        sent_after = crash.seen_s - crash.age_s > group_start_s
        if sent_after or crash.seen_s - group_start_s > SAME_CAUSE_S:
            count += 1
            group_start_s = crash.seen_s
    return count


def hold_s(score: float) -> float:
    """Return for how long a trait with this score is refused.

    >>> hold_s(3.0), hold_s(4.0), hold_s(90.0)
    (3.0, 12.0, 3600.0)
    """
    steps = max(0.0, score - BLAME_SCORE)
    longest_steps = math.log(MAX_HOLD_S / FIRST_HOLD_S, HOLD_FACTOR)
    if steps >= longest_steps:
        return MAX_HOLD_S
    return FIRST_HOLD_S * math.pow(HOLD_FACTOR, steps)


def needed_score(
    crashes: Collection[Crash], all_crashes: Collection[Crash]
) -> float:
    """Return the score from which a trait is blamed for some crashes.

    >>> crashes = [Crash(name, False, ord(name)) for name in 'ace']
    >>> others = [Crash(name, False, ord(name)) for name in 'bd']
    >>> needed_score(crashes, crashes), needed_score(crashes, crashes + others)
    (3.0, 6.0)
    """
    first_s = min(crash.seen_s for crash in crashes) - SAME_CAUSE_S
    last_s = max(crash.seen_s for crash in crashes) + SAME_CAUSE_S
    meanwhile = count_causes(
        crash for crash in all_crashes if first_s <= crash.seen_s <= last_s
    )
    share = count_causes(crashes) / max(1, meanwhile)
    return BLAME_SCORE if share >= EXPLAINED_SHARE else MIXED_BLAME_SCORE


def find_culprits(
    crashes_by_trait: Mapping[str, Collection[Crash]],
    specificity: Mapping[str, int],
    all_crashes: Collection[Crash] = (),
) -> list[str]:
    """Return the fewest traits that explain the crashes, greedily.

    A crash that a culprit explains says nothing against the other traits of
    the requests that were in flight.

    >>> crashes = [Crash(name, False, number) for number, name in
    ...            enumerate('abcd')]
    >>> by_trait = {'prompt': crashes, 'part': crashes, 'body': crashes[:3]}
    >>> find_culprits(by_trait, {'prompt': 1, 'part': 2, 'body': 3})
    ['part']
    """
    unexplained = {
        key: list(crashes)
        for key, crashes in crashes_by_trait.items()
        if crash_score(crashes) >= BLAME_SCORE
        and crash_score(crashes) >= needed_score(crashes, all_crashes)
    }
    culprits: list[str] = []
    while unexplained:
        score, _, best = max(
            (crash_score(crashes), specificity[key], key)
            for key, crashes in unexplained.items()
        )
        if score < BLAME_SCORE:
            break
        culprits.append(best)
        explained = {crash.lifetime for crash in unexplained.pop(best)}
        for key, crashes in unexplained.items():
            unexplained[key] = [
                crash for crash in crashes if crash.lifetime not in explained
            ]
    return culprits


@dataclass(slots=True)
class CrashBlame:
    """Evidence by trait, and the traits that are blamed.

    >>> blame = CrashBlame()
    >>> for number, lifetime in enumerate('abc'):
    ...     traits = [Trait(f'body-{number}', 2), Trait('part', 1)]
    ...     blame.record(traits, Crash(lifetime, False, float(number)))
    >>> list(blame.blamed)
    ['part']
    >>> blame.clear(['part'], now_s=3.0)
    {'part': ['a', 'b', 'c']}
    >>> list(blame.blamed)
    []
    """

    evidence: dict[str, TraitEvidence] = field(default_factory=dict)
    # The first report of the crash of each lifetime.
    crashes: dict[str, Crash] = field(default_factory=dict)
    # Traits with enough crashes to be blamed unless they are cleared.
    candidates: set[str] = field(default_factory=set)
    blamed: dict[str, Blame] = field(default_factory=dict)

    def record(self, traits: Iterable[Trait], crash: Crash) -> None:
        """Record that an endpoint crashed with a request in flight."""
        self.crashes.setdefault(crash.lifetime, crash)
        for trait in traits:
            known = self.evidence.setdefault(trait.key, TraitEvidence())
            known.specificity = trait.specificity
            known.add(crash)
            if len(known.crashes) >= BLAME_SCORE:
                self.candidates.add(trait.key)
        self.drop_oldest()
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
        for key, lifetimes in found.items():
            known = self.evidence.setdefault(key, TraitEvidence())
            known.clear(lifetimes, now_s)
        if not self.candidates.isdisjoint(found):
            self.refresh()
        return found

    def note_trial(self, keys: Iterable[str], now_s: float) -> None:
        """Start the hold time of some traits anew, as one of them is tried."""
        for key in keys:
            if key in self.evidence:
                self.evidence[key].tried_s = now_s
        self.refresh()

    def blame_of(self, keys: Iterable[str]) -> Blame | None:
        """Return the blame of the traits that is held longest, or None."""
        found = [self.blamed[key] for key in keys if key in self.blamed]
        return max(found, key=lambda one: one.retry_at_s, default=None)

    def refresh(self) -> None:
        """Find out anew which traits are blamed."""
        crashes = {
            key: self.evidence[key].uncleared() for key in self.candidates
        }
        self.candidates = {
            key for key, found in crashes.items() if len(found) >= BLAME_SCORE
        }
        culprits = find_culprits(
            {key: crashes[key] for key in self.candidates},
            {key: self.evidence[key].specificity for key in self.candidates},
            self.crashes.values(),
        )
        self.blamed = {
            key: make_blame(key, crashes[key], self.evidence[key].tried_s)
            for key in culprits
        }

    def forget_old(self, now_s: float) -> None:
        """Drop evidence that is past its retention.

        That against a blamed trait is kept until it has been held.
        """
        oldest_s = now_s - RETENTION_S
        for key, known in list(self.evidence.items()):
            held = key in self.blamed and self.blamed[key].retry_at_s > oldest_s
            if held:
                continue
            known.forget_before(oldest_s)
            if not known.crashes and not known.cleared_s:
                del self.evidence[key]
        self.crashes = {
            lifetime: crash
            for lifetime, crash in self.crashes.items()
            if crash.seen_s >= oldest_s
        }
        self.candidates.intersection_update(self.evidence)
        self.refresh()

    def drop_oldest(self) -> None:
        """Drop the oldest traits that aren't blamed above the maximum."""
        excess = max(0, len(self.evidence) - MAX_TRAITS)
        droppable = (key for key in self.evidence if key not in self.blamed)
        for key in list(itertools.islice(droppable, excess)):
            del self.evidence[key]
            self.candidates.discard(key)


def make_blame(key: str, crashes: Collection[Crash], tried_s: float) -> Blame:
    """Return the blame of a trait for some crashes."""
    score = crash_score(crashes)
    last_s = max(crash.seen_s for crash in crashes)
    return Blame(
        key,
        score,
        tuple(sorted(crash.lifetime for crash in crashes)),
        max(last_s, tried_s) + hold_s(score),
    )
