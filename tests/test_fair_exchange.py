"""Tests of fair shares over several entries, and among batch items."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace
from types import SimpleNamespace
from typing import cast

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gateway_kit import FakeStore, FakeTime, make_dispatcher, make_endpoint
from quetzaldyke.gateway.batch_schedule import Candidate, start_order
from quetzaldyke.gateway.dispatcher import Dispatcher
from quetzaldyke.gateway.fair_shares import ACTIVE_S, MAX_ROWS, RequestRow
from quetzaldyke.gateway.flow_exchange import MIN_INTERVAL_S, FlowExchange
from quetzaldyke.gateway.flow_messages import FlowReport
from quetzaldyke.gateway.gossip import Gossip
from quetzaldyke.gateway.gossip_messages import decode, encode
from quetzaldyke.gateway.item_order import fair_start_order
from quetzaldyke.gateway.item_shares import (
    ItemRow,
    ItemShares,
    heaviest_items,
)
from quetzaldyke.gateway.loads import PEER_REPORT_TTL_S
from quetzaldyke.gateway.slot_grants import weighted_first
from quetzaldyke.gateway.wait_estimates import Claim
from quetzaldyke.gateway.wait_queue import QueuedRequest
from runner_kit import RunnerHarness

LIGHT = Claim(0, 'light')
HOT = Claim(0, 'hot')


def fill(dispatcher: Dispatcher, requests: int, waiting: int) -> None:
    """Let an organisation run requests at endpoint `e1`, and queue others."""
    endpoint = dispatcher.endpoints.by_id['e1'].endpoint
    for _ in range(requests):
        dispatcher.acquire_on(endpoint, online=True, flow='hot')
    for _ in range(waiting):
        dispatcher.queue('lm').add(
            QueuedRequest(0, 1e9, 1e9, lambda: False, lambda: None, flow='hot')
        )


def tell(sender: Dispatcher, receiver: Dispatcher, now_s: float) -> None:
    """Let an entry apply what another one tells of its organisations."""
    report = FlowReport('p', sender.estimates.rows())
    message = decode(encode(report))
    assert message == report
    receiver.estimates.shares.apply('p', report.requests, now_s)
    receiver.loads.apply_report(
        'p', dict(sender.loads.report()), sender.waiting(), 0, now_s
    )


def test_line_at_other_entries_does_not_hold_up_a_light_organisation() -> None:
    """Guards against an organisation that fills the queues of all entries."""
    time = FakeTime()
    own, peer = (make_dispatcher(time, make_endpoint('e1')) for _ in 'op')
    fill(peer, requests=4, waiting=30)
    own.loads.apply_report('p', {}, peer.waiting(), 0, time.now_s)
    untold_s = own.expected_wait_s('lm', LIGHT)
    tell(peer, own, time.now_s)
    told_s = own.expected_wait_s('lm', LIGHT)
    assert 20 * told_s < untold_s
    assert own.expected_wait_s('lm', HOT) >= untold_s
    # What the peer runs counts as the organisation's use here.
    assert own.queue('lm').flows.held('hot') == 4


def test_waiting_request_elsewhere_finds_the_places_beyond_the_slots() -> None:
    """Guards against an entry that fills each slot again before others can.

    Requests of small organisations come now and then, so that one which was
    told of counts for some time.
    """
    time = FakeTime()
    own = make_dispatcher(time, make_endpoint('e1'))
    fill(own, requests=4, waiting=9)
    assert own.max_queued('lm', 'hot') == own.max_queued('lm')
    row = RequestRow('lm', 'light', 0, 0, 1)
    own.estimates.shares.apply('p', (row,), time.now_s)
    own.estimates.shares.apply('p', (), time.now_s)
    assert own.max_queued('lm', 'hot') == 0
    assert own.max_queued('lm', 'light') == own.max_queued('lm')
    own.estimates.shares.remove_silent_peers(time.now_s + ACTIVE_S + 0.1)
    assert own.max_queued('lm', 'hot') == own.max_queued('lm')


def test_what_a_silent_or_recovered_entry_told_is_dropped() -> None:
    """Guards against shares that count what a dead entry once ran."""
    time = FakeTime()
    own, peer = (make_dispatcher(time, make_endpoint('e1')) for _ in 'op')
    fill(peer, requests=5, waiting=9)
    shares = own.estimates.shares
    tell(peer, own, time.now_s)
    peer.queue('lm').requests.clear()
    tell(peer, own, time.now_s)
    assert (shares.table('lm').held('hot'), shares.waiting['lm']) == (5, {})
    shares.remove_silent_peers(time.now_s + PEER_REPORT_TTL_S + 0.1)
    assert not shares.table('lm').elsewhere
    tell(peer, own, time.now_s)
    shares.apply('p', (), time.now_s)
    assert (shares.table('lm').elsewhere, shares.peers) == ({}, {})


def test_report_tells_only_of_heavy_organisations_and_is_bounded() -> None:
    """Guards against messages that grow with the number of organisations."""
    time = FakeTime()
    dispatcher = make_dispatcher(time, make_endpoint('e1', slots=64))
    endpoint = dispatcher.endpoints.by_id['e1'].endpoint
    for number in range(200):
        dispatcher.acquire_on(endpoint, online=True, flow=f'light-{number}')
    fill(dispatcher, requests=9, waiting=0)
    dispatcher.queue('lm')
    shares = dispatcher.estimates.shares
    queue = dispatcher.queue('lm')
    assert [row.organisation for row in shares.rows('lm', queue, 640, 1)] == [
        'hot'
    ]
    # With one slot in three flows all are beyond their share.
    assert len(dispatcher.estimates.rows()) == MAX_ROWS
    assert dispatcher.estimates.rows()[0] == RequestRow('lm', 'hot', 0, 9, 0)
    items = [ItemRow(f'o{number}', 1, number) for number in range(300)]
    kept = heaviest_items(items)
    assert len(kept) == MAX_ROWS
    assert sum(row.pending for row in kept) == sum(range(300))


def test_malformed_report_is_dropped_as_a_whole() -> None:
    """Guards against counts of another entry that can't be true."""
    rows = (RequestRow('lm', 'a', 0, -1, 0),)
    assert decode(encode(FlowReport('p', rows))) is None
    assert decode(encode(FlowReport('p', (), (ItemRow('a', 1, -2),)))) is None


def item(
    organisation: str,
    number: int,
    due_ms: float,
    *,
    urgent: bool = False,
    late: bool = False,
) -> Candidate:
    """Return an item of an organisation's only job."""
    return Candidate(
        organisation,
        number,
        due_ms,
        0,
        late,
        urgent=urgent,
        organisation=organisation,
    )


def test_few_items_do_not_wait_for_the_many_of_another_organisation() -> None:
    """Guards against ten items behind thousands that are due earlier."""
    items = [item('hot', number, 1.0) for number in range(2000)]
    items += [item('light', number, 9.0) for number in range(10)]
    shares = ItemShares(elsewhere={'hot': 12})
    ordered = fair_start_order(items, shares, {'hot': 8}, slots=20)
    assert {one.organisation for one in ordered[:10]} == {'light'}
    assert len(ordered) == len(items)


def test_recent_use_decides_between_organisations_without_running_items() -> (
    None
):
    """Guards against an order that forgets what has just ended."""
    shares = ItemShares()
    shares.add_use('busy', 5.0)
    items = [item('busy', 0, 1.0), item('idle', 0, 9.0)]
    ordered = fair_start_order(items, shares, {}, slots=4)
    assert [one.organisation for one in ordered] == ['idle', 'busy']
    for now_s in (10.0, 20.0, 30.0, 40.0):
        shares.fade(now_s)
    assert not shares.recent_use


def test_urgent_items_go_first_within_their_share_only() -> None:
    """Guards against late items, and against urgency that crowds others out."""
    hot = [item('hot', number, 1.0, urgent=True) for number in range(9)]
    light = [item('light', number, 9.0) for number in range(9)]
    ordered = fair_start_order(
        hot + light, ItemShares(), {'light': 0, 'hot': 3}, slots=8
    )
    first = Counter(one.organisation for one in ordered[:5])
    assert ordered[0] == hot[0]
    assert first == {'hot': 1, 'light': 4}


@given(
    st.lists(
        st.builds(
            item,
            st.just('one'),
            st.integers(0, 50),
            st.floats(0, 9),
            urgent=st.booleans(),
            late=st.booleans(),
        ),
        unique=True,
    )
)
def test_one_organisation_is_served_as_before(items: list[Candidate]) -> None:
    """Guards against another order where nothing has to be shared."""
    ordered = fair_start_order(items, ItemShares(), {'one': 3}, slots=4)
    assert ordered == start_order(items)


def test_entry_with_few_items_is_granted_its_organisations_share() -> None:
    """Guards against ten items of one entry behind 10,000 of twenty others."""
    shares = ItemShares(own=(ItemRow('light', 0, 10),))
    pending = {'own': 10}
    for number in range(20):
        rows = (ItemRow('hot', 9, 10_000),)
        shares.apply(f'p{number}', rows, 1.0)
        pending[f'p{number}'] = 10_000
    weights = shares.weigh_entries('own', pending)
    assert weights['own'] == 1.0
    chosen = Counter(
        weighted_first(weights, f'slot-{number}') for number in range(400)
    )
    assert 140 <= chosen['own'] <= 260
    # Items that the last rows did not tell of are one organisation's.
    shares.own = (ItemRow('light', 3, 0),)
    assert shares.weigh_entries('own', pending)['own'] == 1.0
    shares.remove_silent_peers(1.0 + PEER_REPORT_TTL_S + 0.1)
    assert not shares.elsewhere


def test_entries_without_organisations_are_weighed_by_their_items() -> None:
    """Guards against another choice where no organisations are configured."""
    generator = random.Random(3)
    pending = {f'p{number}': generator.randrange(9) for number in range(9)}
    assert ItemShares().weigh_entries('p0', pending) is pending


@pytest.mark.anyio
@pytest.mark.parametrize('anyio_backend', ['asyncio'])
async def test_reports_are_sent_while_there_is_something_to_tell() -> None:
    """Guards against messages about idle organisations, and rows that stay.

    A report without rows takes the earlier ones back.
    """
    time = FakeTime()
    own = make_dispatcher(time, make_endpoint('e1'))
    sent: list[FlowReport] = []
    gossip = cast(
        'Gossip',
        SimpleNamespace(interval_s=lambda: 0.005, broadcast=sent.append),
    )
    exchange = FlowExchange('own', own, gossip, time.read, lambda: None)
    await exchange.tick()
    assert not sent
    fill(own, requests=5, waiting=3)
    for _ in range(3):
        await exchange.tick()
    assert [len(report.requests) for report in sent] == [1]
    for reservation in own.loads.own.values():
        reservation.online = 0
    own.queue('lm').requests.clear()
    own.queue('lm').flows.running.clear()
    for _ in range(3):
        time.now_s += MIN_INTERVAL_S
        await exchange.tick()
    assert [len(report.requests) for report in sent] == [1, 0]


@pytest.mark.anyio
@pytest.mark.parametrize('anyio_backend', ['asyncio'])
async def test_items_are_told_and_applied_by_organisation() -> None:
    """Guards against shares that miss the jobs of this or another entry."""
    time = FakeTime()
    async with anyio.create_task_group() as group:
        harness = await RunnerHarness.with_job(FakeStore(), group, items=4)
        runner, job = harness.runner, harness.job
        job.record = replace(job.record, organisation='own')
        job.items[0].running = True
        job.items[1].finished = True
        waiting = job.waiting(time.now_s, runner.estimator)
        gossip = cast('Gossip', SimpleNamespace())
        exchange = FlowExchange(
            'own', runner.dispatcher, gossip, time.read, lambda: runner
        )
        assert exchange.make_report().items == (ItemRow('own', 1, 2),)
        row = RequestRow('lm', 'other', 0, 3, 0)
        exchange.apply(FlowReport('p', (row,), (ItemRow('other', 5, 6),)))
        group.cancel_scope.cancel()
    assert {one.candidate.organisation for one in waiting} == {'own'}
    assert runner.starter.shares.elsewhere == {'other': 5}
    assert runner.dispatcher.queue('lm').flows.held('other') == 3
