"""Tests of what batch work leaves free for the peaks of online demand."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from gateway_kit import make_endpoint
from quetzaldyke.gateway.batch_reserve import (
    BatchReserve,
    is_urgent,
    joined_small,
    limits_of,
)
from quetzaldyke.gateway.demand_rhythm import (
    MEMORY_S,
    DemandRhythm,
    reserved_share,
)
from quetzaldyke.gateway.loads import LoadTable, RequestCounts
from quetzaldyke.gateway.model import Endpoint

STEP_S = 0.1
LOW_S = 3.8
HIGH_S = 2.8
LOW = 4.0
HIGH = 20.0


def play_rhythm(rhythm: DemandRhythm, until_s: float) -> None:
    """Observe demand that is low and high by turns, from low on."""
    for step in range(int(until_s / STEP_S)):
        now_s = step * STEP_S
        is_low = now_s % (LOW_S + HIGH_S) < LOW_S
        rhythm.note(LOW if is_low else HIGH, now_s)


def test_peak_is_remembered_through_the_low() -> None:
    """Guards against runs on every slot of a low, cut in the next high."""
    rhythm = DemandRhythm()
    play_rhythm(rhythm, 22.0)
    assert rhythm.low_since_s is not None
    assert rhythm.peak == HIGH
    assert rhythm.trough == LOW


def test_length_of_lows_is_learned() -> None:
    """Guards against runs that begin at the end of a low as at its start."""
    rhythm = DemandRhythm()
    play_rhythm(rhythm, 120.0)
    began_s = rhythm.low_since_s
    assert began_s is not None
    rest_s = rhythm.rest_of_low_s(began_s + 0.5)
    assert 2.0 < rest_s < LOW_S
    assert rhythm.rest_of_low_s(began_s + 0.6 + rest_s) == 0.0


def test_peak_is_forgotten_when_demand_has_fallen_for_good() -> None:
    """Guards against slots that stay idle for a peak that never returns."""
    rhythm = DemandRhythm()
    play_rhythm(rhythm, 20.0)
    for step in range(int(MEMORY_S / STEP_S) + 10):
        rhythm.note(LOW, 20.0 + step * STEP_S)
    assert rhythm.peak == LOW


def test_gap_in_the_observations_is_no_low() -> None:
    """Guards against runs that begin by a low of minutes that was none."""
    rhythm = DemandRhythm()
    play_rhythm(rhythm, 22.0)
    lows_s = list(rhythm.lows_s)
    rhythm.note(HIGH, 142.0)
    assert list(rhythm.lows_s) == lows_s
    for step in range(600):
        rhythm.note(LOW, 143.0 + step * STEP_S)
    rhythm.note(HIGH, 203.1)
    assert max(rhythm.lows_s) < MEMORY_S + LOW_S


def test_short_lows_bound_what_is_expected() -> None:
    """Guards against runs that the next high cuts where lows are uneven."""
    rhythm = DemandRhythm()
    rhythm.lows_s.extend([6.0, 2.0, 5.0, 2.0, 6.0, 2.0, 5.0, 6.0])
    rhythm.low_since_s = 10.0
    assert rhythm.rest_of_low_s(10.5) == 1.5


@given(st.lists(st.integers(1, 8), min_size=1, max_size=40), st.floats(0, 200))
def test_limits_add_up_to_what_the_peak_leaves(
    slots: list[int], peak: float
) -> None:
    """Guards against slots that rounding keeps from batch work."""
    endpoints = [
        make_endpoint(f'e{number}', slots=count)
        for number, count in enumerate(slots)
    ]
    limits = limits_of(endpoints, peak)
    left = sum(slots) * (1 - reserved_share(peak, sum(slots)))
    assert left - 1 < sum(limits.values()) <= left + 1e-6
    assert all(0 <= limits[one.endpoint_id] <= one.slots for one in endpoints)


@given(st.floats(0, 1000), st.floats(0, 1000))
def test_reserved_share_is_a_share(peak: float, slots: float) -> None:
    """Guards against a limit below zero or above the slots."""
    assert 0 <= reserved_share(peak, slots) <= 1


def make_reserve(online: int) -> BatchReserve:
    """Return what two endpoints with 8 slots keep for a peak on each."""
    loads = LoadTable()
    for name in ('e1', 'e2'):
        loads.own[name] = RequestCounts(online)
    reserve = BatchReserve(loads)
    endpoints = [make_endpoint(name, slots=8) for name in ('e1', 'e2')]
    reserve.observe('lm', endpoints, 1.0)
    loads.own.clear()
    reserve.observe('lm', endpoints, 2.0)
    return reserve


def test_batch_runs_leave_the_peak_free() -> None:
    """Guards against runs that the next peak cuts."""
    reserve = make_reserve(online=4)
    endpoint = make_endpoint('e1', slots=8)
    assert reserve.limit(endpoint) == 2
    reserve.loads.own['e1'] = RequestCounts(batch=1)
    beside, kept = reserve.split([endpoint] * 7)
    assert len(beside) == 1
    assert len(kept) == 6


def test_all_slots_are_free_for_batch_without_demand() -> None:
    """Guards against a reserve where nothing is asked for online."""
    unknown = BatchReserve(LoadTable())
    endpoint = make_endpoint('e1', slots=8)
    assert unknown.split([endpoint] * 8) == ([endpoint] * 8, [])
    assert make_reserve(online=0).limit(endpoint) == 8


def test_small_domains_share_their_peaks() -> None:
    """Guards against endpoints kept free for peaks that go to all domains."""
    endpoints = [
        make_endpoint(f'{domain}{number}', failure_domain=domain)
        for domain, count in (('a', 1), ('b', 2), ('c', 3))
        for number in range(count)
    ]
    domains: dict[tuple[str, str], list[Endpoint]] = {}
    for one in endpoints:
        domains.setdefault(('lm', one.failure_domain), []).append(one)
    joined = joined_small(domains)
    assert {key: len(members) for key, members in joined.items()} == {
        ('lm', ''): 3,
        ('lm', 'c'): 3,
    }


def test_item_that_would_be_late_is_urgent() -> None:
    """Guards against items that are late beside slots that stay idle."""
    assert not is_urgent(left_s=18.0, remaining_s=4.0, wait_s=2.0)
    assert is_urgent(left_s=18.0, remaining_s=4.0, wait_s=13.0)
    assert is_urgent(left_s=5.0, remaining_s=4.0, wait_s=0.0)


def test_item_that_is_late_in_any_case_is_not_urgent() -> None:
    """Guards against lost items that take the slots of those in time."""
    assert not is_urgent(left_s=3.0, remaining_s=4.0, wait_s=0.0)
