"""Enforces each organisation's rate and concurrency limits per entry.

Every entry starts with an even share of each limit. Entries report the
demand of an organisation to its coordinating entry, chosen by rendezvous
hashing, which sends back shares by demand. No request waits for this
exchange; without advice the even share applies.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field
from typing import Final

from result import Err, Ok, Result

from quetzaldyke.parts.tokens import TokenBucket
from quetzaldyke.request.outcome import (
    HTTP_TOO_MANY,
    MS_IN_S,
    Refusal,
)
from quetzaldyke.version.configuration import Organisation

REPORT_INTERVAL_S: Final = 1.0
# Advice expires unless it is renewed, so that entries that lost their
# coordinator return to even shares.
ADVICE_TTL_S: Final = 5.0
USAGE_TTL_S: Final = 5.0
# Fraction of each limit that is divided evenly regardless of demand, so that
# an entry that was idle can admit requests before it gets new advice.
EVEN_FRACTION: Final = 0.2
# Capacity of a token bucket, as the time in which it refills.
BURST_S: Final = 1.0
CONCURRENCY_RETRY_MS: Final = 1000


def shares_by_demand(demand: Mapping[str, int]) -> dict[str, float]:
    """Return each entry's share of a limit; the shares sum to one.

    >>> shares_by_demand({'entry-1': 60, 'entry-2': 20})
    {'entry-1': 0.7, 'entry-2': 0.30000000000000004}
    >>> shares_by_demand({'entry-1': 0, 'entry-2': 0})
    {'entry-1': 0.5, 'entry-2': 0.5}
    """
    total = sum(demand.values())
    even = 1 / max(1, len(demand))
    if not total:
        return dict.fromkeys(demand, even)
    return {
        name: EVEN_FRACTION * even + (1 - EVEN_FRACTION) * requests / total
        for name, requests in demand.items()
    }


@dataclass(slots=True)
class Advice:
    """Share assigned by the coordinating entry, and when it expires."""

    share: float
    until_s: float


@dataclass(slots=True)
class Usage:
    """Token bucket and running requests of an organisation."""

    bucket: TokenBucket
    running: int = 0


@dataclass(slots=True)
class Limits:
    """Admits requests at one entry within its share of the limits."""

    read_now_s: Callable[[], float]
    find_organisation: Callable[[str], Organisation | None]
    count_entries: Callable[[], int]
    usage: dict[str, Usage] = field(default_factory=dict)
    advice: dict[str, Advice] = field(default_factory=dict)
    demand: Counter[str] = field(default_factory=Counter)

    def share_of(self, name: str) -> float:
        """Return this entry's share of the organisation's limits."""
        advice = self.advice.get(name)
        if advice is not None and advice.until_s > self.read_now_s():
            return advice.share
        return 1 / max(1, self.count_entries())

    def admit(self, name: str) -> Result[None, Refusal]:
        """Count a request as running until `release`, or refuse it."""
        organisation = self.find_organisation(name)
        if organisation is None:
            return Err(unknown_organisation())
        self.demand[name] += 1
        share = self.share_of(name)
        usage = self.usage_of(name, organisation, share)
        # Rounded up, so that a limit below the number of entries still
        # allows one request at each entry.
        max_running = math.ceil(organisation.concurrency * share)
        if usage.running >= max_running:
            return Err(limit_reached('concurrency', CONCURRENCY_RETRY_MS))
        if not usage.bucket.try_take():
            wait_ms = int(usage.bucket.wait_s() * MS_IN_S)
            return Err(limit_reached('rate', max(1, wait_ms)))
        usage.running += 1
        return Ok(None)

    def release(self, name: str) -> None:
        """Count an admitted request as ended."""
        self.usage[name].running -= 1

    def usage_of(
        self,
        name: str,
        organisation: Organisation,
        share: float,
    ) -> Usage:
        """Return the usage state, with the bucket set to the current rate."""
        rate = organisation.requests_per_s * share
        burst = max(1.0, rate * BURST_S)
        usage = self.usage.get(name)
        if usage is None:
            usage = Usage(TokenBucket(self.read_now_s, rate, burst))
            self.usage[name] = usage
        elif usage.bucket.rate_per_s != rate:
            usage.bucket.set_rate(rate, burst)
        return usage

    def take_demand(self) -> dict[str, int]:
        """Return the requests per organisation since the last call."""
        demand = dict(self.demand)
        # After its last request an organisation is reported with zero, so
        # that the coordinator sees that the demand ended.
        self.demand = Counter(
            dict.fromkeys(self.active_organisations(demand), 0)
        )
        return demand

    def active_organisations(self, demand: Mapping[str, int]) -> list[str]:
        """Return organisations that had demand or have running requests."""
        return [
            name
            for name, count in demand.items()
            if count or self.running_requests(name)
        ]

    def running_requests(self, name: str) -> int:
        """Return the number of running requests of an organisation."""
        usage = self.usage.get(name)
        return usage.running if usage else 0

    def apply_advice(self, shares: Mapping[str, float]) -> None:
        """Use the coordinator's shares for the next `ADVICE_TTL_S`."""
        until_s = self.read_now_s() + ADVICE_TTL_S
        for name, share in shares.items():
            bounded = min(1.0, max(0.0, share))
            self.advice[name] = Advice(bounded, until_s)

    def remove_idle(self) -> None:
        """Remove expired advice and the state of idle organisations."""
        now_s = self.read_now_s()
        self.advice = {
            name: advice
            for name, advice in self.advice.items()
            if advice.until_s > now_s
        }
        for name, usage in list(self.usage.items()):
            usage.bucket.refill()
            full = usage.bucket.tokens >= usage.bucket.burst
            if full and not usage.running:
                self.usage.pop(name)


@dataclass(slots=True)
class Coordinator:
    """Computes the shares of the organisations that this entry coordinates."""

    read_now_s: Callable[[], float]
    demand: dict[str, dict[str, tuple[int, float]]] = field(
        default_factory=lambda: defaultdict(dict),
    )

    def record_demand(self, entry: str, demand: Mapping[str, int]) -> None:
        """Store the latest demand that an entry reported."""
        now_s = self.read_now_s()
        for name, count in demand.items():
            self.demand[name][entry] = (count, now_s)

    def compute_shares(
        self, entries: Collection[str]
    ) -> dict[str, dict[str, float]]:
        """Return the shares of each live entry, by entry and organisation."""
        oldest_s = self.read_now_s() - USAGE_TTL_S
        by_entry: dict[str, dict[str, float]] = {name: {} for name in entries}
        for organisation, reports in list(self.demand.items()):
            recent = {
                entry: count
                for entry, (count, at_s) in reports.items()
                if at_s > oldest_s
            }
            if not recent:
                self.demand.pop(organisation)
                continue
            demand = {entry: recent.get(entry, 0) for entry in entries}
            for entry, share in shares_by_demand(demand).items():
                by_entry[entry][organisation] = share
        return by_entry


def limit_reached(kind: str, retry_after_ms: int) -> Refusal:
    """Return the refusal of a request that exceeds a limit."""
    return Refusal(
        HTTP_TOO_MANY,
        f'{kind}_limit',
        f'the {kind} limit of the organisation is reached',
        'not_run',
        retry_after_ms,
    )


def unknown_organisation() -> Refusal:
    """Return the refusal for an organisation that was just removed."""
    return Refusal(
        HTTP_TOO_MANY,
        'no_limit',
        'the organisation is no longer configured',
        'not_run',
    )
