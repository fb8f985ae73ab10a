"""Keeps scores of crashes up to date while crashes are added.

Load pattern: a failure domain is lost, and each request in flight there is
reported as a crash. Counting all known crashes again for each report takes
time that grows with the square of the reports. A tally counts a crash when it
is added; a timeline stops counting once its result is settled.

The results are those of `crash_score` and `needed_score`.
"""

from __future__ import annotations

import bisect
import heapq
import itertools
import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from quetzaldyke.parts.crash_causes import (
    EXPLAINED_SHARE,
    MIXED_SCORE,
    QUARANTINE_SCORE,
    SAME_CAUSE_S,
    CauseCount,
    Crash,
    combined_score,
    seen_s,
)


@dataclass(slots=True)
class CrashTally:
    """Score, period and services of the crashes against one trait."""

    early: CauseCount = field(default_factory=CauseCount)
    late: CauseCount = field(default_factory=CauseCount)
    total: CauseCount = field(default_factory=CauseCount)
    first_s: float = math.inf
    last_s: float = -math.inf
    services: set[str] = field(default_factory=set)

    @classmethod
    def of(cls, crashes: Iterable[Crash]) -> CrashTally:
        """Return the tally of some crashes in any order."""
        tally = cls()
        for crash in sorted(crashes, key=seen_s):
            tally.add(crash)
        return tally

    def add(self, crash: Crash) -> None:
        """Add a crash that was not seen before any added one."""
        (self.late if crash.late else self.early).add(crash)
        self.total.add(crash)
        self.first_s = min(self.first_s, crash.seen_s)
        self.last_s = crash.seen_s
        self.services.add(crash.service)

    def score(self) -> float:
        """Return the score of the crashes."""
        return combined_score(self.early.count, self.late.count)

    def is_beside(self, crash: Crash) -> bool:
        """Tell whether a crash fell in the period, in one of the services."""
        return (
            self.first_s - SAME_CAUSE_S
            <= crash.seen_s
            <= self.last_s + SAME_CAUSE_S
            and crash.service in self.services
        )


@dataclass(slots=True)
class CrashTimeline:
    """All crashes of each service in the order in which they were seen."""

    by_service: dict[str, list[Crash]] = field(default_factory=dict)

    @classmethod
    def of(cls, crashes: Iterable[Crash]) -> CrashTimeline:
        """Return the timeline of some crashes in any order."""
        timeline = cls()
        for crash in sorted(crashes, key=seen_s):
            timeline.add(crash)
        return timeline

    def add(self, crash: Crash) -> None:
        """Add a crash."""
        crashes = self.by_service.setdefault(crash.service, [])
        bisect.insort(crashes, crash, key=seen_s)

    def between(
        self, service: str, first_s: float, last_s: float
    ) -> Iterator[Crash]:
        """Return the crashes of a service from one time to another."""
        crashes = self.by_service.get(service, [])
        start = bisect.bisect_left(crashes, first_s, key=seen_s)
        return itertools.takewhile(
            lambda crash: crash.seen_s <= last_s,
            itertools.islice(crashes, start, None),
        )

    def needed_score(self, tally: CrashTally) -> float:
        """Return the score from which the tally's trait is quarantined."""
        periods = [
            self.between(
                service,
                tally.first_s - SAME_CAUSE_S,
                tally.last_s + SAME_CAUSE_S,
            )
            for service in tally.services
        ]
        meanwhile = CauseCount()
        for crash in heapq.merge(*periods, key=seen_s):
            meanwhile.add(crash)
            if tally.total.count / meanwhile.count < EXPLAINED_SHARE:
                return MIXED_SCORE
        return QUARANTINE_SCORE
