"""Tests of organisations' rates under load: what fits is admitted."""

from __future__ import annotations

from typing import Final

import msgpack
import pytest

from quetzaldyke.gateway.gossip_messages import decode, encode
from quetzaldyke.gateway.model import Organisation
from quetzaldyke.parts.fleet_rate import RateBounds, RateBucket
from quetzaldyke.gateway.rate_messages import (
    RateAsk,
    RateGrant,
    RateMessage,
)
from quetzaldyke.parts.held_shares import Holding
from quetzaldyke.parts.rate_shares import ShareHeartbeat
from rate_fleet import BOUNDS, RateFleet

LARGE: Final = Organisation('large', rate=69.0, burst=69.0)
SMALL: Final = Organisation('small', rate=1.0, burst=2.0)


def admitted(fleet: RateFleet, name: str) -> int:
    """Return how many requests of an organisation were admitted."""
    return len(fleet.admitted_s.get(name, []))


@pytest.mark.parametrize('at', ['', 'i3'])
def test_overload_gets_the_limit_and_no_more(at: str) -> None:
    """Guards against lost permits, and against permits beyond the limit.

    Six times the limit comes at all entries, or at one while others are idle.
    """
    fleet = RateFleet.of(23, LARGE, SMALL)
    fleet.demand('large', 414.0, 10.0, at)
    fleet.run(10.0)
    assert admitted(fleet, 'large') >= LARGE.rate * 10 + LARGE.burst
    assert fleet.keeps_bounds()


def test_burst_at_one_entry_fits() -> None:
    """Guards against shares that leave a burst unused at idle entries."""
    fleet = RateFleet.of(23, LARGE)
    for _ in range(int(LARGE.burst)):
        fleet.request(fleet.running('i5'), 'large')
    fleet.run(0.1)
    assert admitted(fleet, 'large') == LARGE.burst
    assert not fleet.refusals


def test_light_organisations_are_not_refused() -> None:
    """Guards against limits below one request for each entry."""
    fleet = RateFleet.of(23, SMALL)
    for _ in range(20):
        fleet.request(
            fleet.generator.choice([*fleet.entries.values()]), 'small'
        )
        fleet.run(1.0)
    assert admitted(fleet, 'small') == 20


def test_retry_after_is_true() -> None:
    """Guards against refused callers that are told to come for one token."""
    fleet = RateFleet.of(5, SMALL)
    for _ in range(6):
        fleet.request(fleet.running('i1'), 'small')
        fleet.run(0.01)
    waits_s = [wait_s for _, wait_s in fleet.refusals]
    assert len(waits_s) == 2
    before = admitted(fleet, 'small')
    start_s = fleet.time.now_s
    for wait_s in waits_s:
        fleet.run(start_s + wait_s - fleet.time.now_s)
        fleet.request(fleet.running('i2'), 'small')
        fleet.run(0.01)
    assert admitted(fleet, 'small') == before + len(waits_s)


@pytest.mark.parametrize('restart_s', [0.3, None])
def test_rates_of_a_lost_coordinator_move(restart_s: float | None) -> None:
    """Guards against an organisation that is refused until a lease lapses.

    Until the delegations to the lost entry have expired, only spare permits
    are left. The next coordinator starts without tokens and gains them in the
    seconds after; nothing is refused any more then.
    """
    names = [f'o{number}' for number in range(12)]
    limits = [Organisation(name, rate=10.0, burst=10.0) for name in names]
    fleet = RateFleet.of(12, *limits)
    shares = fleet.running('i0').rates.shares
    lost = shares.coordinator('o0') or ''
    moved = {name for name in names if shares.coordinator(name) == lost}
    for name in names:
        fleet.demand(name, 6.0, 8.0)
    fleet.run(2.0)
    fleet.kill(fleet.entries[lost].instance, restart_s)
    fleet.run(2 * shares.hold_s + 3.0)
    refused = len(fleet.refusals)
    assert {name for name, _ in fleet.refusals} <= moved
    assert refused <= len(moved) * 6.0 * 2 * shares.hold_s / 2
    fleet.run(6.0)
    assert len(fleet.refusals) == refused
    assert fleet.keeps_bounds()


def test_fleet_that_starts_again_serves_what_fits() -> None:
    """Guards against light organisations refused while shares are unknown.

    Nobody holds the shares for a moment after all entries have died at once.
    A request waits for them rather than being refused.
    """
    names = [f'o{number}' for number in range(12)]
    limits = [Organisation(name, rate=20.0, burst=20.0) for name in names]
    fleet = RateFleet.of(12, *limits)
    for name in names:
        fleet.demand(name, 2.0, 10.0)
    fleet.run(2.0)
    for number in range(12):
        fleet.kill(f'i{number}', 0.5)
    fleet.run(8.0)
    assert len(fleet.refusals) <= 0.01 * 12 * 2.0 * 10.0
    assert fleet.keeps_bounds()


def test_new_entry_uses_each_grant_once() -> None:
    """Guards against permits that a repeated answer brings once more.

    A new entry asks again for what it was not granted, and datagrams come
    twice.
    """
    fleet = RateFleet.of(
        5, Organisation('big', rate=100.0, burst=500.0), doubling=1
    )
    fleet.start('i9')
    fleet.run(1.2)
    fleet.demand('big', 800.0, 4.0, 'i9')
    fleet.run(6.0)
    assert fleet.keeps_bounds()


def test_long_cut_keeps_the_bound() -> None:
    """Guards against a share that is used after the others forgot it."""
    fleet = RateFleet.of(9, LARGE)
    fleet.cut('i0', 'i1', 'i2', 'i3', seconds=90.0)
    fleet.run(75.0)
    fleet.demand('large', 300.0, 8.0)
    fleet.run(8.0)
    assert fleet.keeps_bounds()


def test_entry_cut_from_the_store_keeps_nothing_from_others() -> None:
    """Guards against a coordinator that knows members which others dropped."""
    fleet = RateFleet.of(9, LARGE)
    shares = fleet.running('i0').rates.shares
    coordinator = fleet.entries[shares.coordinator('large') or '']
    coordinator.store_cut = True
    other = next(
        one.instance for one in fleet.entries.values() if one is not coordinator
    )
    fleet.kill(other, 0.3)
    fleet.run(8.0)
    before = len(fleet.refusals)
    fleet.demand('large', 20.0, 10.0)
    fleet.run(10.0)
    assert len(fleet.refusals) - before <= 0.02 * 20.0 * 10.0
    assert fleet.keeps_bounds()


def test_entry_that_knows_no_members_holds_no_share() -> None:
    """Guards against an entry that starts cut off and takes the whole rate."""
    fleet = RateFleet.of(8, LARGE)
    alone = fleet.start('i8')
    alone.store_cut = True
    fleet.cut('i8', seconds=20.0)
    fleet.demand('large', 300.0, 8.0, 'i8')
    fleet.demand('large', 300.0, 8.0, 'i1')
    fleet.run(8.0)
    assert fleet.keeps_bounds()


def test_planned_stop_refuses_nothing_that_fits() -> None:
    """Guards against shares that a stopping coordinator takes along."""
    fleet = RateFleet.of(6, LARGE)
    fleet.demand('large', 50.0, 16.0)
    for number in range(5):
        fleet.run(3.0)
        fleet.stop(f'i{number}', 1.0)
    fleet.run(1.0)
    assert len(fleet.refusals) <= 0.01 * 50.0 * 16.0


def test_entry_that_is_cut_off_serves_its_share() -> None:
    """Guards against an entry that admits all, or nothing, when alone."""
    fleet = RateFleet.of(5, LARGE)
    fleet.cut('i2', seconds=20.0)
    fleet.run(5.0)
    fleet.demand('large', 300.0, 10.0, 'i2')
    fleet.run(10.0)
    per_s = LARGE.rate / 5
    assert per_s * 9 <= admitted(fleet, 'large') <= per_s * 12 + LARGE.burst
    fleet.demand('large', 400.0, 8.0)
    fleet.run(20.0)
    assert fleet.keeps_bounds()


def test_lowered_limit_holds_after_one_window() -> None:
    """Guards against tokens that were gained under the earlier limit."""
    fleet = RateFleet.of(8, LARGE)
    fleet.demand('large', 300.0, 20.0)
    fleet.run(6.0)
    lowered = Organisation('large', rate=7.0, burst=3.0)
    fleet.organisations['large'] = lowered
    fleet.run(BOUNDS.window_s)
    fleet.admitted_s.clear()
    fleet.run(9.0)
    assert fleet.keeps_bounds()
    assert admitted(fleet, 'large') >= 0.9 * 9.0 * lowered.rate


def test_idle_organisations_cost_nothing() -> None:
    """Guards against state and messages for each organisation.

    Messages are heartbeats between entries; their number is that of a fleet
    with one organisation.
    """
    limits = [Organisation(f'o{number}', rate=1.0) for number in range(300)]
    one, many = RateFleet.of(4, limits[0]), RateFleet.of(4, *limits)
    many.demand('o0', 2.0, 2.0)
    many.run(20.0)
    one.demand('o0', 2.0, 2.0)
    one.run(20.0)
    assert many.messages == one.messages
    for entry in many.entries.values():
        assert not entry.rates.demands
        assert not entry.rates.coordinator.rates


def test_requests_of_one_moment_share_an_ask() -> None:
    """Guards against a message for each request of a burst."""
    fleet = RateFleet.of(3, LARGE)
    entry = next(
        one
        for one in fleet.entries.values()
        if one.rates.shares.coordinator('large') != one.name
    )
    before = fleet.messages
    for _ in range(50):
        fleet.request(entry, 'large')
    assert fleet.messages == before + 1
    fleet.run(0.04)
    assert admitted(fleet, 'large') == 50


def test_shares_that_were_held_elsewhere_start_anew() -> None:
    """Guards against tokens that another coordinator has granted meanwhile."""
    bucket = RateBucket(rate=1.0, burst=10.0)
    bucket.refill(Holding((0.0, 0.0), total=2), now_s=100.0)
    assert bucket.tokens == 10.0
    bucket.refill(Holding((0.0, 100.5), total=2), now_s=101.0)
    assert bucket.tokens == 5.75
    bucket.refill(Holding((0.0, 0.0), total=2, floor_s=102.0), now_s=103.0)
    assert bucket.tokens == 1.0


@pytest.mark.parametrize(
    'message',
    [
        ShareHeartbeat('a', 'i1', 7, 0, 0.6, 2**47, 3),
        ShareHeartbeat(
            'a',
            'i1',
            2**62,
            5,
            0.0,
            1,
            3,
            frozenset(('b', 'c')),
            frozenset(('d',)),
            leaving=True,
        ),
        RateAsk('a', 'large', 3, 2, 69.0, 0.0),
        RateGrant('a', 'large', 3, 1, 0.5, 0.1, 0.01, minority=True),
    ],
)
def test_messages_survive_their_encoding(message: RateMessage) -> None:
    """Guards against fields that are lost or swapped on the way."""
    assert decode(encode(message)) == message


@pytest.mark.parametrize(
    ('kind', 'content'),
    [
        ('rate_shares', ['i1', 7, 0, float('nan'), 1, 3, [], [], False]),
        ('rate_shares', ['i1', -7, 0, 0.6, 1, 3, [], [], False]),
        ('rate_shares', ['i1', 7.5, 0, 0.6, 1, 3, [], [], False]),
        ('rate_shares', ['i1', 7, 0, 0.6, 1, 3, 'abc', [], False]),
        ('rate_shares', ['i1', 7]),
        ('rate_ask', ['large', 3, 1_000_000_000, 69.0, 0.0]),
        ('rate_ask', ['large', 3, 1, -1.0, 0.0]),
        ('rate_grant', ['large', 3, -1, 0.5, 0.1, 0.01, True]),
        ('rate_grant', ['large', 3, 1, float('inf'), 0.1, 0.01, True]),
        ('rate_grant', None),
    ],
)
def test_malformed_messages_are_dropped(kind: str, content: object) -> None:
    """Guards against a datagram that ends a process or grants permits."""
    assert decode(msgpack.packb([kind, 'a', content])) is None


@pytest.mark.parametrize('burst', [0.0, 3.0, 69.0, 500.0])
@pytest.mark.parametrize('rate', [0.3, 69.0, 400.0])
def test_allowances_add_up_to_the_bound(rate: float, burst: float) -> None:
    """Guards against an allowance that is given out twice."""
    bounds = RateBounds()
    refill = rate * bounds.refill_factor
    granted = refill * (bounds.window_s + bounds.permit_ttl_s)
    rounding = 1.0
    total = granted + bounds.bucket_burst(burst) + rounding
    assert total + bounds.spare(burst) <= bounds.allowed(rate, burst) + 1e-6
