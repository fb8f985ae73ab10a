"""Tests of how much of a failure domain's demand other domains serve."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

from gateway_kit import make_endpoint
from hypothesis import given
from hypothesis import strategies as st

from quetzaldyke.gateway.domain_shares import (
    MIN_ENDPOINTS,
    DomainLoad,
    DomainShares,
    ServiceSpread,
    Spread,
    comfortable_load,
    nearest_with_room,
    spread_of,
)
from quetzaldyke.gateway.loads import LoadTable, RequestCounts
from quetzaldyke.gateway.model import Endpoint, EntryOptions
from quetzaldyke.gateway.placement import PlacementPolicy
from quetzaldyke.gateway.slot_grants import SlotGrants
from quetzaldyke.gateway.entry_settings import (
    KEEP_LOCAL_VARIABLE,
    PRICE_VARIABLE,
    read_entry_options,
)

REGIONS = {'a': 'south', 'b': 'south', 'c': 'north'}
HOLD_S = 0.5


def fleet_of(**slots: int) -> list[Endpoint]:
    """Return two endpoints for each failure domain, with these slots each."""
    return [
        replace(
            make_endpoint(f'{domain}{number}', failure_domain=domain),
            slots=count,
        )
        for domain, count in slots.items()
        for number in range(2)
    ]


def make_shares(
    own: dict[str, int], peers: dict[str, dict[str, int]] | None = None
) -> DomainShares:
    """Return the shares of an entry in domain `a`, from online requests.

    The first letter of a peer is its failure domain.
    """
    loads = LoadTable()
    loads.own = {key: RequestCounts(online) for key, online in own.items()}
    for peer, counts in (peers or {}).items():
        rows = {key: RequestCounts(online) for key, online in counts.items()}
        loads.apply_report(peer, rows, {}, 0, now_s=1.0)
    return DomainShares(
        'a',
        REGIONS,
        EntryOptions(keep_local=True),
        loads,
        random.Random(1),
        domain_of_peer=lambda peer: peer[0],
        services={'lm': ServiceSpread(is_local=True)},
        min_endpoints=2,
    )


def share_now(
    shares: DomainShares,
    endpoints: list[Endpoint],
    waiting: int = 0,
    now_s: float = 1.0,
) -> Spread:
    """Update the shares and return the spread of the service."""
    shares.count_own_use()
    return shares.update('lm', endpoints, waiting, HOLD_S, now_s)


def test_nothing_leaves_while_the_own_domain_has_room() -> None:
    """Guards against traffic between domains that saves no wait."""
    shares = make_shares({'a0': 5, 'a1': 5})
    assert not share_now(shares, fleet_of(a=8, b=8)).share
    assert shares.next_domain('lm') == ''


def test_what_exceeds_the_own_room_leaves() -> None:
    """Guards against a burst to one domain that waits beside idle endpoints."""
    shares = make_shares({'a0': 8, 'a1': 8}, {'a-peer': {'b0': 4}})
    spread = share_now(shares, fleet_of(a=8, b=8), waiting=4)
    assert spread.room.keys() == {'b'}
    excess = 24 - comfortable_load(16) - 16 * (0.003 / HOLD_S)
    assert round(spread.share, 3) == round(min(excess, 12.47) / 24, 3)


def test_share_does_not_depend_on_where_the_demand_is_served() -> None:
    """Guards against a share that swings: it must not react to itself."""
    here = share_now(make_shares({'a0': 14, 'a1': 10}), fleet_of(a=8, b=16))
    moved = share_now(
        make_shares({'a0': 6, 'a1': 6, 'b0': 12}), fleet_of(a=8, b=16)
    )
    assert here.share == moved.share > 0


def test_helping_domain_keeps_room_for_its_own_demand() -> None:
    """Guards against a domain that gives help and is harmed by it."""
    shares = make_shares({'a0': 20, 'a1': 20}, {'b-peer': {'b0': 6, 'b1': 6}})
    spread = share_now(shares, fleet_of(a=8, b=8))
    assert 0 < spread.share * 40 <= comfortable_load(16) - 12 + 1e-9


def test_full_domains_get_no_help_from_each_other() -> None:
    """Guards against requests that cross domains in both directions."""
    shares = make_shares({'a0': 8, 'a1': 8}, {'b-peer': {'b0': 8, 'b1': 8}})
    assert not share_now(shares, fleet_of(a=8, b=8), waiting=9).share


def test_lost_domain_sends_everything_away() -> None:
    """Guards against callers that wait for a domain without endpoints."""
    shares = make_shares({'b0': 1})
    spread = share_now(shares, fleet_of(b=8))
    assert spread.share == 1.0
    assert shares.next_domain('lm') == 'b'


def test_half_drained_domain_sends_part_away() -> None:
    """Guards against slots of draining endpoints that count as room."""
    shares = make_shares({'a0': 8})
    whole = fleet_of(a=8, b=8)
    assert not share_now(shares, whole).share
    drained = [one for one in whole if one.endpoint_id != 'a1']
    assert 0 < share_now(shares, drained).share < 1


def test_nearest_domains_go_first() -> None:
    """Guards against traffic to another region while the own one has room."""
    loads = {domain: DomainLoad(slots=16.0) for domain in 'abc'}
    assert nearest_with_room(loads, 'a', REGIONS, 5).keys() == {'b'}
    assert nearest_with_room(loads, 'a', REGIONS, 20).keys() == {'b', 'c'}


def test_share_rises_at_once_and_falls_slowly() -> None:
    """Guards against a share that is gone when the next burst begins."""
    spread = ServiceSpread()
    spread.update(Spread(0.5, {'b': 4.0}), now_s=10.0)
    assert spread.spread.share == 0.5
    spread.update(Spread(0.0, {'b': 4.0}), now_s=10.5)
    assert 0.25 < spread.spread.share < 0.5
    spread.update(Spread(0.0, {'b': 4.0}), now_s=20.0)
    assert spread.spread.share == 0.0


def test_falling_share_ends_when_the_helper_fills() -> None:
    """Guards against help that goes on by the room of a moment ago."""
    spread = ServiceSpread()
    spread.update(Spread(0.5, {'b': 4.0}), now_s=10.0)
    spread.update(Spread(0.0, {}, largest=0.0), now_s=10.1)
    assert spread.spread == Spread(0.0, {}, largest=0.0)


def test_waits_at_other_entries_of_the_domain_count() -> None:
    """Guards against entries of one domain that come to other shares."""
    shares = make_shares({'a0': 8, 'a1': 8})
    shares.loads.apply_report('a-peer', {}, {'lm': 8}, 0, now_s=1.0)
    alone = share_now(shares, fleet_of(a=8, b=16)).share
    assert (
        alone
        == share_now(
            make_shares({'a0': 8, 'a1': 8}), fleet_of(a=8, b=16), waiting=8
        ).share
    )


def test_requests_leave_evenly() -> None:
    """Guards against a share that goes away in runs of requests."""
    spread = ServiceSpread(Spread(0.25, {'b': 1.0}))
    assert [spread.leaves() for _ in range(8)] == [
        False,
        False,
        False,
        True,
    ] * 2


def test_price_of_traffic_keeps_more_at_home() -> None:
    """Guards against a price that changes nothing."""
    loads = {'a': DomainLoad(16.0, 16, 16), 'b': DomainLoad(16.0)}
    free = spread_of(18, loads, 'a', REGIONS, accepted_wait=0.0)
    priced = spread_of(18, loads, 'a', REGIONS, accepted_wait=0.2)
    assert priced.share < free.share


@given(
    st.integers(0, 200),
    st.dictionaries(
        st.sampled_from('abc'),
        st.builds(
            DomainLoad,
            st.floats(0, 64),
            st.integers(0, 80),
            st.integers(0, 80),
        ),
    ),
)
def test_share_is_bounded(demand: int, loads: dict[str, DomainLoad]) -> None:
    """Guards against a share above one, or help without room."""
    spread = spread_of(demand, loads, 'a', REGIONS, accepted_wait=0.0)
    assert 0 <= spread.share <= 1
    if loads.get('a', DomainLoad()).slots:
        assert spread.share * demand <= sum(spread.room.values()) + 1e-6


def test_placement_stays_near_and_follows_the_share() -> None:
    """Guards against slots elsewhere that are taken without need."""
    endpoints = fleet_of(a=8, b=8)
    shares = make_shares({})
    loads = shares.loads
    policy = PlacementPolicy('a', random.Random(2), loads, shares)
    loads.own = {'a0': RequestCounts(7), 'a1': RequestCounts(8)}
    choice = policy.choose(endpoints, 1)
    assert choice is not None
    assert choice.endpoint.endpoint_id == 'a0'
    loads.own = {'a0': RequestCounts(8), 'a1': RequestCounts(8)}
    choice = policy.choose(endpoints, 1)
    assert choice is not None
    assert choice.endpoint.failure_domain == 'b'
    loads.own = {}
    shares.services['lm'] = ServiceSpread(
        Spread(0.5, {'b': 1.0}), is_local=True
    )
    domains = Counter(
        choice.endpoint.failure_domain
        for choice in (policy.choose(endpoints, 1) for _ in range(20))
        if choice is not None
    )
    assert domains == {'a': 10, 'b': 10}


def placed_domains(
    shares: DomainShares, endpoints: list[Endpoint], requests: int
) -> Counter[str]:
    """Place requests one after the other; count their failure domains."""
    policy = PlacementPolicy('a', random.Random(2), shares.loads, shares)
    domains: Counter[str] = Counter()
    for _ in range(requests):
        choice = policy.choose(endpoints, 1)
        if choice is not None:
            domains[choice.endpoint.failure_domain] += 1
            shares.loads.own_counts(choice.endpoint.endpoint_id).online += 1
    return domains


def test_full_domain_asks_the_nearest_with_room_first() -> None:
    """Guards against requests to another region beside room in the own one."""
    endpoints = fleet_of(a=8, b=8, c=32)
    shares = make_shares({'a0': 8, 'a1': 8})
    share_now(shares, endpoints)
    assert placed_domains(shares, endpoints, 6) == {'b': 6}


def test_domain_without_room_is_asked_last() -> None:
    """Guards against the last slots of a domain that needs them itself."""
    endpoints = fleet_of(a=8, b=8, c=8)
    shares = make_shares({'a0': 8, 'a1': 8}, {'b-peer': {'b0': 7, 'b1': 7}})
    share_now(shares, endpoints)
    assert placed_domains(shares, endpoints, 4) == {'c': 4}


def test_request_waits_at_home_for_less_than_the_price() -> None:
    """Guards against a price of traffic that a full domain ignores."""
    endpoints = fleet_of(a=8, b=8)
    shares = make_shares({'a0': 8, 'a1': 8})
    shares.options = EntryOptions(keep_local=True, price_s=0.1)
    share_now(shares, endpoints)
    assert placed_domains(shares, endpoints, 2) == {'a': 2}
    share_now(shares, endpoints, waiting=20)
    assert placed_domains(shares, endpoints, 4)['b']


def test_paused_domain_goes_behind_others() -> None:
    """Guards against requests that a whole domain has asked to be spared."""
    endpoints = fleet_of(a=8, b=8)
    shares = make_shares({})
    policy = PlacementPolicy('a', random.Random(2), shares.loads, shares)
    choice = policy.choose(endpoints, 1, paused={'a0', 'a1'})
    assert choice is not None
    assert choice.endpoint.failure_domain == 'b'
    choice = policy.choose(endpoints, 1, paused={'a0', 'a1', 'b0', 'b1'})
    assert choice is not None
    assert choice.endpoint.failure_domain == 'a'


def test_free_slot_elsewhere_goes_before_a_cut_run() -> None:
    """Guards against batch runs that are cut beside a domain with room.

    Where no domain has room, a run of the own one makes way.
    """
    endpoints = fleet_of(a=8, b=8)
    shares = make_shares({'a0': 6, 'a1': 6})
    policy = PlacementPolicy('a', random.Random(2), shares.loads, shares)
    shares.loads.own = {
        'a0': RequestCounts(6, 2),
        'a1': RequestCounts(6, 2),
    }
    share_now(shares, endpoints)
    choice = policy.choose(endpoints, 1)
    assert choice is not None
    assert choice.endpoint.failure_domain == 'b'
    shares.loads.apply_report(
        'b-peer', {key: RequestCounts(7) for key in ('b0', 'b1')}, {}, 0, 2.0
    )
    share_now(shares, endpoints)
    choice = policy.choose(endpoints, 1)
    assert choice is not None
    assert choice.endpoint.failure_domain == 'a'
    assert choice.preempt_batch


def test_domain_with_few_endpoints_is_not_kept_to() -> None:
    """Guards against one endpoint that fills up beside idle ones elsewhere."""
    shares = make_shares({})
    shares.min_endpoints = MIN_ENDPOINTS
    endpoints = fleet_of(a=8, b=8)
    assert share_now(shares, endpoints).share == 0
    assert not shares.keeps_any()
    assert placed_domains(shares, endpoints, 12)['b'] >= 3


def test_share_cuts_no_batch_run_elsewhere() -> None:
    """Guards against runs in another domain that make way without need."""
    endpoints = fleet_of(a=8, b=8)
    shares = make_shares({})
    shares.services['lm'] = ServiceSpread(
        Spread(1.0, {'b': 4.0}), is_local=True
    )
    shares.loads.own = {key: RequestCounts(0, 8) for key in ('b0', 'b1')}
    policy = PlacementPolicy('a', random.Random(2), shares.loads, shares)
    choice = policy.choose(endpoints, 1)
    assert choice is not None
    assert choice.endpoint.failure_domain == 'a'


def fills(grants: SlotGrants, endpoint: str, waited_s: float) -> bool:
    """Return whether an entry with items fills a slot after some time."""
    grants.may_fill(endpoint, 50, 1.0, 'b')
    return grants.may_fill(endpoint, 50, 1.0 + waited_s, 'b')


def test_free_slots_go_to_the_own_domain_but_not_for_good() -> None:
    """Guards against items that wait beside slots that nobody there uses."""
    loads = LoadTable()
    loads.apply_report('b-peer', {}, {}, 5, now_s=1.0)
    grants = SlotGrants('a-own', loads, domain_of_entry=lambda entry: entry[0])
    names = [f'e{number}' for number in range(40)]
    assert not any(fills(grants, name, 0.2) for name in names)
    assert sum(fills(grants, name, 0.6) for name in names) > 20


def test_settings_are_checked() -> None:
    """Guards against a mistyped setting that is taken for another."""
    assert read_entry_options({}).unwrap() == EntryOptions()
    read = read_entry_options({KEEP_LOCAL_VARIABLE: '1', PRICE_VARIABLE: '5'})
    assert read.unwrap() == EntryOptions(keep_local=True, price_s=0.005)
    wrong = read_entry_options({PRICE_VARIABLE: '-1', KEEP_LOCAL_VARIABLE: 'x'})
    assert wrong.is_err()
    rendered = wrong.unwrap_err().render()
    assert PRICE_VARIABLE in rendered
    assert KEEP_LOCAL_VARIABLE in rendered
