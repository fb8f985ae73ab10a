"""Tests of the retry budget, backoff, token bucket and rate limits."""

from __future__ import annotations

from dataclasses import dataclass

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quetzaldyke.parts.backoff import BackoffOptions, backoff_s, max_backoff_s
from quetzaldyke.parts.retry_budget import RetryBudget
from quetzaldyke.parts.tokens import TokenBucket
from quetzaldyke.request.limits import (
    ADVICE_TTL_S,
    Coordinator,
    Limits,
    shares_by_demand,
)
from quetzaldyke.version.configuration import Organisation

KEY = 'a' * 64


@dataclass
class ManualTime:
    """Clock that a test advances."""

    now_s: float = 0.0

    def read(self) -> float:
        """Return the current time."""
        return self.now_s


steps = st.lists(
    st.tuples(
        st.floats(0, 3),  # elapsed seconds
        st.integers(0, 30),  # requests
        st.integers(0, 30),  # wanted retries
    ),
    max_size=40,
)


@given(steps=steps)
def test_retries_stay_in_budget(steps: list[tuple[float, int, int]]) -> None:
    """Guards against retries over a tenth of the requests plus the floor."""
    time = ManualTime()
    budget = RetryBudget(time.read)
    requests = 0
    granted = 0
    for passed_s, made, wanted in steps:
        time.now_s += passed_s
        for _ in range(made):
            budget.deposit()
        requests += made
        granted += sum(budget.try_spend() for _ in range(wanted))
        floor = 3 * (10 + time.now_s)
        assert granted <= requests * 0.1 + floor + 1e-6


@pytest.mark.parametrize('requests', [0, 1000])
def test_budget_recovers_after_it_was_spent(requests: int) -> None:
    """Guards against a pool that can never retry again."""
    time = ManualTime()
    budget = RetryBudget(time.read)
    for _ in range(requests):
        budget.deposit()
    while budget.try_spend():
        pass
    time.now_s = 1.0
    assert [budget.try_spend() for _ in range(4)] == [True] * 3 + [False]


@given(attempt=st.integers(1, 10_000))
def test_pauses_stay_under_the_cap(attempt: int) -> None:
    """Guards against pauses that outgrow the deadline or overflow."""
    options = BackoffOptions(0.02, 0.5)
    assert 0 < max_backoff_s(options, attempt) <= 0.5
    assert backoff_s(options, attempt, lambda low, high: low) == 0


@given(
    steps=st.lists(
        st.tuples(st.floats(0, 2), st.integers(0, 20)),
        max_size=40,
    ),
    rate=st.floats(0.5, 50),
    burst=st.floats(1, 50),
)
def test_bucket_never_exceeds_its_rate(
    steps: list[tuple[float, int]],
    rate: float,
    burst: float,
) -> None:
    """Guards against admissions over the rate and the burst."""
    time = ManualTime()
    bucket = TokenBucket(time.read, rate, burst)
    taken = 0
    for passed_s, wanted in steps:
        time.now_s += passed_s
        taken += sum(bucket.try_take() for _ in range(wanted))
        assert taken <= burst + rate * time.now_s + 1e-6
    time.now_s += 1000
    assert sum(bucket.try_take() for _ in range(100)) <= burst


def make_limits(time: ManualTime, entries: int = 2) -> Limits:
    """Return limits of one organisation with 10 requests/s, 4 at once."""
    organisation = Organisation(
        key_sha256=KEY,
        requests_per_s=10,
        concurrency=4,
    )
    return Limits(
        time.read,
        {'barf': organisation}.get,
        lambda: entries,
    )


def count_admitted(limits: Limits, wanted: int) -> int:
    """Return how many of the wanted requests are admitted."""
    return sum(limits.admit('barf').is_ok() for _ in range(wanted))


def test_even_share_without_advice() -> None:
    """Guards against an entry that uses the whole limit of the fleet."""
    assert count_admitted(make_limits(ManualTime()), 10) == 2


def test_released_slots_are_reused_up_to_the_rate() -> None:
    """Guards against slots that leak and a rate that is not enforced."""
    limits = make_limits(ManualTime())
    done = 0
    for _ in range(20):
        if limits.admit('barf').is_ok():
            limits.release('barf')
            done += 1
    assert done == 5


@pytest.mark.parametrize(
    ('later_s', 'expected'),
    [(0.0, 3), (ADVICE_TTL_S, 2)],
)
def test_advice_applies_until_it_expires(later_s: float, expected: int) -> None:
    """Guards against shares of a coordinator that is gone."""
    time = ManualTime()
    limits = make_limits(time)
    limits.apply_advice({'barf': 0.75})
    time.now_s = later_s
    assert count_admitted(limits, 10) == expected


def test_rate_refusal_has_retry_after() -> None:
    """Guards against a rate refusal without a usable `Retry-After`."""
    limits = make_limits(ManualTime())
    refusals = []
    for _ in range(8):
        outcome = limits.admit('barf')
        if outcome.is_ok():
            limits.release('barf')
        else:
            refusals.append(outcome.unwrap_err())
    assert {one.ran for one in refusals} == {'not_run'}
    assert refusals[0].headers() == {'retry-after': '1'}


@given(
    demand=st.dictionaries(
        st.sampled_from('abcdefgh'),
        st.integers(0, 10**6),
        min_size=1,
    ),
)
def test_shares_add_up_to_the_limit(demand: dict[str, int]) -> None:
    """Guards against shares that exceed the limit in total."""
    shares = shares_by_demand(demand)
    assert sum(shares.values()) == pytest.approx(1)
    assert min(shares.values()) > 0


def test_coordinator_follows_demand_and_drops_dead_entries() -> None:
    """Guards against shares that stay with an entry that is gone."""
    time = ManualTime()
    coordinator = Coordinator(time.read)
    coordinator.record_demand('entry-1', {'barf': 90})
    coordinator.record_demand('entry-2', {'barf': 10})
    advice = coordinator.compute_shares(['entry-1', 'entry-2'])
    assert advice['entry-1']['barf'] > 0.8
    assert coordinator.compute_shares(['entry-2']) == {'entry-2': {'barf': 1.0}}
    time.now_s = 60
    assert coordinator.compute_shares(['entry-2']) == {'entry-2': {}}
