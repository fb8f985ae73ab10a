"""Tests of the route table, endpoint table, load table and placement."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gateway_kit import (
    FakeTime,
    make_dispatcher,
    make_endpoint,
    make_route,
    set_running,
)
from quetzaldyke.gateway.endpoints import LAPSE_GRACE_S, EndpointTable
from quetzaldyke.gateway.loads import LoadTable, RequestCounts
from quetzaldyke.gateway.model import (
    CallerLimits,
    Configuration,
    WeightedService,
)
from quetzaldyke.gateway.placement import PlacementPolicy
from quetzaldyke.gateway.route_table import RouteTable, choose_service
from quetzaldyke.gateway.store_path import PEER_RETENTION_S, StorePath
from quetzaldyke.gateway.wait_queue import QueuedRequest


def make_route_table(*prefixes: str) -> RouteTable:
    """Return a route table with one route per prefix, all of one host."""
    routes = tuple(
        replace(make_route(), name=prefix, prefix=prefix) for prefix in prefixes
    )
    return RouteTable.from_configuration(
        Configuration(1, routes, {}, CallerLimits()),
    )


@pytest.mark.parametrize(
    ('path', 'expected'),
    [
        ('/a/b/c', '/a/b/'),
        ('/a/x', '/a/'),
        ('/a/b', '/a/'),
        ('/b', None),
        ('/a', None),
    ],
)
def test_longest_prefix(path: str, expected: str | None) -> None:
    """Guards against matching the route of a shorter prefix."""
    found = make_route_table('/a/', '/a/b/').find('h.example', path)
    assert (found.name if found else None) == expected


def test_other_host_has_no_route() -> None:
    """Guards against matching a route of another host."""
    assert make_route_table('/a/').find('other.example', '/a/x') is None


def test_split_follows_weights() -> None:
    """Guards against a split that ignores weights: 10 of 100 getting half."""
    route = replace(
        make_route(),
        services=(WeightedService('x', 90), WeightedService('y', 10)),
    )
    generator = random.Random(3)
    drawn = Counter(choose_service(route, generator) for _ in range(2000))
    assert 130 < drawn['y'] < 270


def test_no_new_work_for_a_draining_endpoint() -> None:
    """Guards against new requests to an endpoint that is draining."""
    table = EndpointTable()
    table.put(make_endpoint('e1'))
    table.put(make_endpoint('e1', state='draining'))
    assert not table.usable('lm', 0.0)


def test_endpoint_lapsed_in_an_outage_stays_usable() -> None:
    """Guards against losing all endpoints in an outage of the list itself."""
    table = EndpointTable()
    table.put(make_endpoint('e1'))
    table.outage_began()
    assert not table.remove('e1', 1.0)
    table.outage_ended(2.0)
    assert not table.drop_lapsed(2.0 + LAPSE_GRACE_S / 2)
    assert table.usable('lm', 2.0)


def test_endpoint_lapsed_after_an_outage_is_removed() -> None:
    """Guards against endless use of an endpoint that died in an outage."""
    table = EndpointTable()
    table.put(make_endpoint('e1'))
    table.outage_began()
    table.remove('e1', 1.0)
    table.outage_ended(2.0)
    assert table.drop_lapsed(2.0 + LAPSE_GRACE_S) == ['e1']
    assert not table.usable('lm', 5.0)


def test_lapsed_endpoint_is_not_used_past_the_grace_period() -> None:
    """Guards against use of a removed endpoint until the next clean-up."""
    table = EndpointTable()
    table.put(make_endpoint('e1'))
    table.outage_began()
    table.remove('e1', 1.0)
    table.outage_ended(2.0)
    assert table.usable('lm', 2.0 + LAPSE_GRACE_S - 0.01)
    assert not table.usable('lm', 2.0 + LAPSE_GRACE_S)


def test_peer_paths_of_departed_peers_are_removed() -> None:
    """Guards against a path table that grows with each restart of an entry."""
    path = StorePath(('s', 1))
    path.note_peer('old', ('p', 1), store_up_s=1.0, now_s=0.0)
    path.note_peer('new', ('p', 2), store_up_s=1.0, now_s=PEER_RETENTION_S)
    path.remove_silent_peers(PEER_RETENTION_S + 1.0)
    assert list(path.peers) == ['new']


def test_removal_counts_when_only_this_entry_lost_the_store() -> None:
    """Guards against treating a removal as a lapse after a local pause.

    Found by a simulated run with randomized faults: an entry that was frozen
    for a second saw its calls to the store time out, assumed an outage of
    the store, and kept sending requests to an endpoint that had been removed.
    """
    path = StorePath(('s', 1))
    path.note_peer('p', ('p', 2), store_up_s=60.0, now_s=9.9)
    assert path.any_peer_up_since(since_s=9.0, now_s=10.0)
    table = EndpointTable()
    table.put(make_endpoint('e1'))
    table.outage_began()
    table.outage_was_local()
    assert table.remove('e1', 10.1)


def test_outage_at_all_entries_is_a_store_outage() -> None:
    """Guards against losing all endpoints in an outage of the store."""
    path = StorePath(('s', 1))
    path.note_peer('p', ('p', 2), store_up_s=0.3, now_s=9.9)
    assert not path.any_peer_up_since(since_s=9.0, now_s=10.0)
    path.note_peer('p', ('p', 2), store_up_s=60.0, now_s=5.0)
    assert not path.any_peer_up_since(since_s=9.0, now_s=10.0)


def test_removal_without_outage_takes_effect_at_once() -> None:
    """Guards against use of an endpoint that was removed without draining."""
    table = EndpointTable()
    table.put(make_endpoint('e1'))
    assert table.remove('e1', 50.0)


def test_failed_endpoint_is_ejected_for_longer_each_time() -> None:
    """Guards against a full share of requests for an unresponsive endpoint."""
    table = EndpointTable()
    table.put(make_endpoint('e1'))
    table.put(make_endpoint('e2'))
    pauses = [table.note_failure('e1', 10.0 * number) for number in range(3)]
    assert pauses == sorted(pauses)
    assert pauses[0] < pauses[2]
    assert [one.endpoint_id for one in table.usable('lm', 20.1)] == ['e2']


def test_ejected_endpoints_are_used_if_there_is_no_other() -> None:
    """Guards against a network fault of this entry stopping a whole service."""
    table = EndpointTable()
    table.put(make_endpoint('e1'))
    table.note_failure('e1', 1.0)
    assert table.usable('lm', 1.1)


def test_non_idempotent_request_avoids_failing_endpoints() -> None:
    """Guards against non-idempotent requests that probe a failed endpoint."""
    table = EndpointTable()
    table.put(make_endpoint('e1'))
    table.put(make_endpoint('e2'))
    table.note_failure('e1', 1.0)
    avoid_failing = table.usable('lm', 60.0, avoid_failing=True)
    assert [one.endpoint_id for one in avoid_failing] == ['e2']
    table.note_success('e1')
    assert len(table.usable('lm', 60.0, avoid_failing=True)) == 2


def test_restarted_endpoint_starts_without_failures() -> None:
    """Guards against failures that outlive a restart under the same id."""
    table = EndpointTable()
    table.put(make_endpoint('e1', started_ms=1))
    table.put(make_endpoint('e2'))
    table.note_failure('e1', 1.0)
    table.put(make_endpoint('e1', started_ms=2))
    assert len(table.usable('lm', 1.1)) == 2


def test_load_reports_of_silent_peers_expire() -> None:
    """Guards against slots that stay counted as used by a dead entry."""
    loads = LoadTable()
    loads.apply_report(
        'p', {'e1': RequestCounts(2, 1)}, {'lm': 3}, 4, now_s=1.0
    )
    assert (loads.total('e1'), loads.online('e1')) == (3, 2)
    assert loads.waiting_elsewhere('lm') == 3
    assert loads.pending_by_peer() == {'p': 4}
    assert loads.remove_silent_peers(2.5) == ['p']
    assert loads.total('e1') == 0


PeerLoads = dict[str, tuple[dict[str, RequestCounts], int]]
counts_by_endpoint = st.dictionaries(
    st.sampled_from(['e1', 'e2', 'e3']),
    st.builds(RequestCounts, st.integers(0, 3), st.integers(0, 3)),
)


def assert_sums(loads: LoadTable, reports: PeerLoads) -> None:
    """Compare the sums of a table with sums computed from all reports."""
    for endpoint in ('e1', 'e2', 'e3'):
        rows = {
            peer: counts[endpoint]
            for peer, (counts, _) in reports.items()
            if endpoint in counts
        }
        online = sum(row.online for row in rows.values())
        assert loads.online(endpoint) == online
        assert loads.total(endpoint) == sum(row.total for row in rows.values())
        batch = [(row.batch, peer) for peer, row in rows.items() if row.batch]
        assert loads.batch_peers(endpoint) == sorted(batch, reverse=True)
    waiting = sum(queued for _, queued in reports.values())
    assert loads.waiting_elsewhere('lm') == waiting
    assert loads.pending_by_peer() == {
        peer: 2 * queued for peer, (_, queued) in reports.items() if queued
    }


@given(
    st.lists(
        st.tuples(
            st.sampled_from(['p', 'q', 'r']),
            counts_by_endpoint,
            st.integers(0, 4),
            st.sampled_from([0.0, 0.1, 0.6, 1.5]),
        ),
        max_size=12,
    ),
)
def test_sums_kept_by_difference_are_those_of_all_reports(
    steps: list[tuple[str, dict[str, RequestCounts], int, float]],
) -> None:
    """Guards against counts that drift when reports replace or expire."""
    loads = LoadTable()
    reports: PeerLoads = {}
    now_s = 1.0
    for peer, counts, queued, pause_s in steps:
        now_s += pause_s
        for silent in loads.remove_silent_peers(now_s):
            del reports[silent]
        waiting = {'lm': queued} if queued else {}
        loads.apply_report(peer, counts, waiting, 2 * queued, now_s)
        reports[peer] = (counts, queued)
        assert_sums(loads, reports)
    loads.remove_silent_peers(now_s + 2.0)
    assert_sums(loads, {})
    assert not loads.peer_sums


def test_report_touches_only_the_endpoints_it_changes() -> None:
    """Guards against work for each report that grows with the peers."""
    loads = LoadTable()
    for number in range(600):
        row = {f'e{number % 30}': RequestCounts(1, 1)}
        loads.apply_report(f'p{number}', row, {}, 0, now_s=1.0)
    # Recomputed sums would contain the other endpoints again.
    loads.peer_sums = {key: loads.peer_sums[key] for key in ('e0', 'e5')}
    loads.apply_report('p0', {'e5': RequestCounts(2, 0)}, {}, 0, now_s=1.1)
    assert (loads.online('e0'), loads.online('e5')) == (19, 22)
    assert loads.peer_sums.keys() == {'e0', 'e5'}


def test_report_tells_whether_slots_came_free() -> None:
    """Guards against a scheduling pass for every report of a large fleet."""
    loads = LoadTable()
    assert not loads.apply_report('p', {'e1': RequestCounts(1, 1)}, {}, 0, 1.0)
    assert not loads.apply_report('p', {'e1': RequestCounts(2, 1)}, {}, 0, 1.1)
    assert loads.apply_report('p', {'e1': RequestCounts(2, 0)}, {}, 0, 1.2)
    assert not loads.apply_report('p', {'e1': RequestCounts(2, 0)}, {}, 0, 1.3)


def policy_of(loads: LoadTable) -> PlacementPolicy:
    """Return a policy of an entry in failure domain `a`."""
    return PlacementPolicy('a', random.Random(2), loads)


def test_free_slot_in_the_own_domain_first() -> None:
    """Guards against needless traffic between failure domains."""
    near = make_endpoint('near', failure_domain='a')
    far = make_endpoint('far', failure_domain='b')
    chosen = policy_of(LoadTable()).choose([far, near], 0)
    assert chosen is not None
    assert chosen.endpoint.endpoint_id == 'near'


def test_remote_free_slot_before_a_full_local_endpoint() -> None:
    """Guards against queueing locally while another domain has free slots."""
    loads = LoadTable()
    set_running(loads, 'near', online=4, batch=0)
    near = make_endpoint('near', failure_domain='a')
    far = make_endpoint('far', failure_domain='b')
    chosen = policy_of(loads).choose([far, near], 2)
    assert chosen is not None
    assert chosen.endpoint.endpoint_id == 'far'


def test_batch_run_is_preempted_in_a_burst() -> None:
    """Guards against online requests that wait behind batch runs."""
    loads = LoadTable()
    set_running(loads, 'e1', online=1, batch=3)
    set_running(loads, 'e2', online=3, batch=1)
    endpoints = [make_endpoint('e1'), make_endpoint('e2')]
    chosen = policy_of(loads).choose(endpoints, 1)
    assert chosen is not None
    assert chosen.preempt_batch
    assert chosen.endpoint.endpoint_id == 'e1'


def test_no_placement_when_online_requests_fill_all_slots() -> None:
    """Guards against unbounded queues at the engines."""
    loads = LoadTable()
    set_running(loads, 'e1', online=5, batch=0)
    assert policy_of(loads).choose([make_endpoint('e1')], 1) is None


@given(
    st.lists(
        st.tuples(st.integers(0, 6), st.integers(0, 6)),
        min_size=1,
        max_size=6,
    ),
    st.integers(0, 2),
)
def test_placement_never_exceeds_the_queue_limit(
    used: list[tuple[int, int]],
    max_queued: int,
) -> None:
    """Guards against overloading an endpoint while others have free slots."""
    loads = LoadTable()
    endpoints = []
    for number, (online, batch) in enumerate(used):
        set_running(loads, f'e{number}', online, batch)
        endpoints.append(make_endpoint(f'e{number}'))
    chosen = policy_of(loads).choose(endpoints, max_queued)
    has_free = any(sum(row) < 4 for row in used)
    if chosen is None:
        # No endpoint may have had capacity for the request.
        assert all(row[0] >= 4 + max_queued for row in used)
        assert not has_free
        return
    taken = loads.own_counts(chosen.endpoint.endpoint_id)
    assert taken.online < 4 + max_queued
    assert has_free == (taken.total < 4)


def test_queue_is_served_when_a_peer_frees_a_slot() -> None:
    """Guards against requests queued until the next tick with slots free."""
    time = FakeTime()
    dispatcher = make_dispatcher(time, make_endpoint('e1'))
    dispatcher.loads.apply_report(
        'p', {'e1': RequestCounts(9, 0)}, {}, 0, time.now_s
    )
    started: list[str] = []

    def try_start() -> bool:
        if dispatcher.try_acquire('lm') is None:
            return False
        started.append('r')
        return True

    request = QueuedRequest(
        0, time.now_s + 1, time.now_s + 1, try_start, lambda: None
    )
    dispatcher.queue('lm').add(request)
    dispatcher.apply_report('p', {'e1': RequestCounts(1, 0)}, {}, 0)
    assert started == ['r']


def test_second_release_has_no_effect() -> None:
    """Guards against a wrong load after releasing a reservation twice."""
    time = FakeTime()
    dispatcher = make_dispatcher(time, make_endpoint('e1'))
    reservation = dispatcher.try_acquire('lm')
    assert reservation is not None
    dispatcher.release(reservation)
    dispatcher.release(reservation)
    assert dispatcher.loads.total('e1') == 0
