"""Grants permits for the requests of the organisations coordinated here.

Load pattern: an organisation's requests come at many entries, and for some
seconds at several times their usual rate. The entry that holds the shares of
the organisation's limit (`parts/rate_shares.py`) keeps one token bucket for
all of them (`parts/fleet_rate.py`). Nothing is kept of an organisation whose
bucket is full.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.gateway.model import Organisation
from quetzaldyke.gateway.rate_messages import RateAsk, RateGrant
from quetzaldyke.parts.fleet_rate import MAJORITY, RateBounds, RateBucket
from quetzaldyke.parts.rate_shares import ShareTable

# A bucket is kept this long after the last ask, which may be sent again.
KEPT_S: Final = 2.0


@dataclass(slots=True)
class CoordinatedRate:
    """The bucket of one organisation, and the latest grant to each entry."""

    bucket: RateBucket
    grants: dict[str, RateGrant] = field(default_factory=dict)
    asked_s: float = 0.0


@dataclass(slots=True)
class RateCoordinator:
    """The rates of the organisations that were asked for here."""

    shares: ShareTable
    bounds: RateBounds
    now: Callable[[], float]
    # Returns an organisation as this entry knows it.
    find_organisation: Callable[[str], Organisation | None]
    rates: dict[str, CoordinatedRate] = field(default_factory=dict)

    def answer(self, ask: RateAsk) -> RateGrant:
        """Grant as many permits as there are tokens.

        An ask that arrives again gets the same answer.
        """
        known = self.find_organisation(ask.organisation)
        rate = known.rate if known else ask.rate
        burst = known.burst if known else ask.burst
        if not rate:
            return self.grant_of(ask, ask.wanted)
        state = self.state(ask.organisation, rate, burst)
        answered = state.grants.get(ask.sender)
        if answered is not None and answered.number >= ask.number:
            return answered
        grant = self.take(state.bucket, ask)
        state.grants[ask.sender] = grant
        return grant

    def state(self, name: str, rate: float, burst: float) -> CoordinatedRate:
        """Return the state of an organisation, with its current limit."""
        now_s = self.now()
        refill_rate = rate * self.bounds.refill_factor
        bucket_burst = self.bounds.bucket_burst(burst)
        state = self.rates.get(name)
        if state is None:
            state = CoordinatedRate(RateBucket(refill_rate, bucket_burst))
            self.rates[name] = state
        state.asked_s = now_s
        state.bucket.rate = refill_rate
        state.bucket.burst = bucket_burst
        state.bucket.refill(self.shares.holding(name), now_s)
        return state

    def take(self, bucket: RateBucket, ask: RateAsk) -> RateGrant:
        """Take the tokens for an ask from a bucket."""
        granted = bucket.take(ask.wanted)
        refused = ask.wanted - granted
        if not refused:
            return self.grant_of(ask, granted)
        window_s = self.bounds.window_s
        held_rate = bucket.rate * bucket.weight
        return RateGrant(
            self.shares.own_id,
            ask.organisation,
            ask.number,
            granted,
            bucket.refuse(refused, self.now(), window_s),
            1 / held_rate if held_rate else 0.0,
            bucket.next_token_s(),
            minority=bucket.weight <= MAJORITY,
        )

    def grant_of(self, ask: RateAsk, granted: int) -> RateGrant:
        """Return the answer to an ask that is granted completely."""
        own_id = self.shares.own_id
        return RateGrant(own_id, ask.organisation, ask.number, granted)

    def clean_up(self) -> None:
        """Drop the buckets that are full, and grants to lost entries."""
        now_s = self.now()
        members = self.shares.members
        for name, state in list(self.rates.items()):
            for sender in state.grants.keys() - members:
                del state.grants[sender]
            if now_s - state.asked_s < KEPT_S:
                continue
            bucket = state.bucket
            bucket.refill(self.shares.holding(name), now_s)
            if bucket.tokens >= bucket.capacity:
                del self.rates[name]
