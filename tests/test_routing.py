"""Tests of the choice among candidate endpoints."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quetzaldyke.request.routing import (
    AFFINITY_BOUND,
    Candidate,
    LocalityPreference,
    choose_by_prefix,
    choose_candidate,
    slow_penalties,
)

PREFERENCE = LocalityPreference('a', 0.8)

candidates = st.lists(
    st.builds(
        Candidate,
        name=st.uuids().map(str),
        failure_domain=st.sampled_from('abc'),
        load=st.integers(0, 40),
        limit=st.integers(1, 16),
        ttft_ms=st.floats(0, 5000),
        prefix_blocks=st.integers(0, 3),
    ),
    max_size=12,
    unique_by=lambda candidate: candidate.name,
)


@given(pool=candidates, seed=st.integers(0, 99))
def test_choice_is_a_candidate(pool: list[Candidate], seed: int) -> None:
    """Guards against no choice although a candidate is available."""
    chosen = choose_candidate(pool, PREFERENCE, Random(seed))
    assert (chosen in pool) if pool else (chosen is None)


@given(pool=candidates)
def test_at_most_a_third_is_down_weighted(pool: list[Candidate]) -> None:
    """Guards against overload of the others by a wrong classification."""
    assert len(slow_penalties(pool)) * 3 <= len(pool)


@given(pool=candidates)
def test_prefix_never_overloads(pool: list[Candidate]) -> None:
    """Guards against overload of the endpoint with a popular prefix."""
    holder = choose_by_prefix(pool, {}) if pool else None
    if holder is None:
        return
    mean = (sum(candidate.load for candidate in pool) + 1) / len(pool)
    assert holder.prefix_blocks
    assert holder.load < holder.limit
    assert holder.load + 1 <= max(1, mean * AFFINITY_BOUND + 1)


def count_choices(
    pool: list[Candidate],
    preference: LocalityPreference = PREFERENCE,
    tries: int = 2000,
) -> Counter[str]:
    """Return how often each endpoint is chosen."""
    random = Random(7)
    chosen = (choose_candidate(pool, preference, random) for _ in range(tries))
    return Counter(
        candidate.name for candidate in chosen if candidate is not None
    )


def test_local_endpoints_go_first_until_they_are_busy() -> None:
    """Guards against needless traffic between failure domains."""
    far = [Candidate(f'far-{index}', 'b', 0, 8) for index in range(3)]
    idle = [Candidate(f'near-{index}', 'a', 2, 8) for index in range(3)]
    full = [Candidate(f'near-{index}', 'a', 8, 8) for index in range(3)]
    assert not [name for name in count_choices(far + idle) if 'far' in name]
    spilled = count_choices(far + full)
    assert sum(spilled[f'far-{index}'] for index in range(3)) > 1500


def test_two_choices_prefer_the_idle() -> None:
    """Guards against a choice that ignores load: even would give 500."""
    pool = [
        Candidate(f'e{index}', 'a', load, 32)
        for index, load in enumerate((0, 10, 10, 10))
    ]
    found = count_choices(pool, LocalityPreference('a', 1.0))
    assert found['e0'] > 900


def test_slow_endpoint_gets_little_but_is_probed() -> None:
    """Guards against a slow endpoint without penalty or never probed."""
    pool = [Candidate(f'e{index}', 'a', 2, 16, 50) for index in range(5)]
    pool.append(Candidate('slow', 'a', 2, 16, 600))
    found = count_choices(pool, tries=10_000)
    assert 0 < found['slow'] < 100


def test_idle_prefix_holder_is_taken() -> None:
    """Guards against prefix affinity without effect."""
    pool = [Candidate(f'e{index}', 'a', 2, 16) for index in range(5)]
    pool.append(Candidate('holder', 'a', 1, 16, prefix_blocks=2))
    assert count_choices(pool) == {'holder': 2000}


@pytest.mark.parametrize('load', [16, 17, 40])
def test_full_prefix_holder_is_not_taken_for_its_prefix(load: int) -> None:
    """Guards against queueing at a prefix holder while others are idle."""
    pool = [Candidate(f'e{index}', 'a', 1, 16) for index in range(5)]
    pool.append(Candidate('holder', 'a', load, 16, prefix_blocks=2))
    assert count_choices(pool)['holder'] < 30
