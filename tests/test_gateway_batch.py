"""Tests of batch scheduling: slot shares, preemption, order, ownership."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gateway_kit import make_endpoint, make_terms, set_running
from quetzaldyke.gateway.active_job import ActiveJob, ItemProgress
from quetzaldyke.gateway.batch_schedule import (
    BatchPolicy,
    Candidate,
    assign_endpoints,
    start_order,
)
from quetzaldyke.gateway.endpoints import EndpointTable
from quetzaldyke.gateway.exchange import Exchange, ResponseHead
from quetzaldyke.gateway.job_records import (
    ItemRecord,
    JobRecord,
    JobState,
    Member,
)
from quetzaldyke.gateway.job_table import JobTable
from quetzaldyke.gateway.loads import LoadTable, RequestCounts
from quetzaldyke.gateway.membership import (
    OUTAGE_GRACE_S,
    OWNER_GRACE_S,
    Ownership,
)
from quetzaldyke.gateway.model import Endpoint
from quetzaldyke.gateway.preemption import Preemption
from quetzaldyke.gateway.slot_grants import ROUND_S, SlotGrants


def make_policy(own_id: str = 'own', seed: int = 1) -> BatchPolicy:
    """Return the policy of an entry."""
    loads = LoadTable()
    return BatchPolicy(loads, SlotGrants(own_id, loads), random.Random(seed))


def make_fleet(pending: list[int]) -> list[BatchPolicy]:
    """Return the policies of entries that know each other's pending items."""
    fleet = [make_policy(f'p{number}') for number in range(len(pending))]
    for policy in fleet:
        for number, items in enumerate(pending):
            if policy.grants.own_id != f'p{number}':
                policy.loads.apply_report(f'p{number}', {}, {}, items, 1.0)
    return fleet


def test_idle_slots_are_filled_at_once_without_other_demand() -> None:
    """Guards against idle slots while only this entry has items to start."""
    slots = make_policy().allocate_slots(
        [make_endpoint('e1'), make_endpoint('e2')],
        own_pending=20,
        now_s=1.0,
    )
    assert len(slots) == 8


@given(st.lists(st.integers(1, 9), min_size=2, max_size=20), st.text())
def test_entries_together_fill_the_slots_once(
    pending: list[int],
    endpoint_id: str,
) -> None:
    """Guards against entries that all take the same free slots, or none."""
    endpoint = make_endpoint(endpoint_id, slots=8)
    taken = [
        len(policy.allocate_slots([endpoint], pending[number], now_s=1.0))
        for number, policy in enumerate(make_fleet(pending))
    ]
    assert sum(taken) == 8
    assert sum(count > 0 for count in taken) == 1


def test_slots_are_not_taken_again_before_reports_arrive() -> None:
    """Guards against two entries that start into the same slot.

    The second one learns only later that the first has filled it.
    """
    pending = [5, 5]
    fleet = make_fleet(pending)
    endpoint = make_endpoint('e1')
    first, second = sorted(
        fleet, key=lambda one: not one.allocate_slots([endpoint], 5, now_s=1.0)
    )
    set_running(first.loads, 'e1', online=0, batch=4)
    assert not first.allocate_slots([endpoint], 1, now_s=1.05)
    assert not second.allocate_slots([endpoint], 5, now_s=1.05)


def test_slots_that_the_chosen_entry_leaves_are_offered_again() -> None:
    """Guards against slots that stay idle because one entry is stuck."""
    fleet = make_fleet([5, 5, 5])
    endpoint = make_endpoint('e1')
    chosen = set()
    for number in range(20):
        for policy in fleet:
            now_s = 1.0 + number * ROUND_S * 1.01
            if policy.allocate_slots([endpoint], 5, now_s):
                chosen.add(policy.grants.own_id)
    assert len(chosen) == 3


def test_shares_are_in_proportion_to_the_pending_items() -> None:
    """Guards against an entry whose few items hold up those with many."""
    pending = [8, 2]
    fleet = make_fleet(pending)
    won = [
        sum(
            policy.grants.may_fill(f'e{endpoint}', pending[number], now_s=1.0)
            for endpoint in range(1000)
        )
        for number, policy in enumerate(fleet)
    ]
    assert sum(won) == 1000
    assert 150 <= won[1] <= 250


def make_preemption(
    *jobs: ActiveJob,
    endpoint: Endpoint | None = None,
) -> Preemption:
    """Return the preemption of the entry `own`."""
    table = EndpointTable()
    table.put(endpoint or make_endpoint('e1'))
    by_id = {job.record.job_id: job for job in jobs}
    return Preemption('own', by_id, LoadTable(), table)


def make_running_job(job_id: str, *runs: tuple[bool, int]) -> ActiveJob:
    """Return a job whose items run on `e1`: whether begun, and events."""
    items = {}
    for number, (begun, events) in enumerate(runs):
        record = ItemRecord(f'{job_id}{number}', '/p', (), 1, 0, 0, 0)
        progress = ItemProgress(number, record, endpoint_id='e1', running=True)
        progress.exchange = Exchange()
        if begun:
            progress.exchange.head = ResponseHead(200, [])
        progress.splitter.last_id = events or None
        items[number] = progress
    records = tuple(one.record for one in items.values())
    job = JobRecord(job_id, 'r', 'h', 0, records)
    return ActiveJob(job, make_terms(), items, {})


def preempted(job: ActiveJob) -> list[int]:
    """Return the items of a job whose runs were cancelled."""
    return [
        index
        for index, progress in job.items.items()
        if progress.exchange is not None and progress.exchange.failure
    ]


def test_run_that_loses_the_least_work_is_preempted() -> None:
    """Guards against cutting a run that is almost done."""
    job = make_running_job('a', (True, 150), (True, 9), (False, 120))
    preemption = make_preemption(job)
    assert preemption.preempt('e1', 'own_request')
    assert preempted(job) == [2]
    assert preemption.preempt('e1', 'own_request')
    assert preempted(job) == [1, 2]


def test_overfull_endpoint_loses_as_many_runs_as_needed() -> None:
    """Guards against cutting a second run before the first has left."""
    job = make_running_job('a', (True, 3), (False, 0))
    preemption = make_preemption(job)
    set_running(preemption.loads, 'e1', online=2, batch=2)
    preemption.preempt_overfull()
    assert not preempted(job)
    set_running(preemption.loads, 'e1', online=3, batch=2)
    for _ in range(3):
        preemption.preempt_overfull()
    assert preempted(job) == [1]
    set_running(preemption.loads, 'e1', online=4, batch=2)
    preemption.preempt_overfull()
    assert preempted(job) == [0, 1]


def test_only_the_entry_with_most_batch_runs_preempts() -> None:
    """Guards against all entries preempting runs for one online request."""
    preemption = make_preemption()
    set_running(preemption.loads, 'e1', online=0, batch=2)
    preemption.loads.apply_report(
        'p', {'e1': RequestCounts(2, 1)}, {}, 0, now_s=1.0
    )
    assert preemption.runs_to_preempt('e1', slots=4) == 1
    preemption.loads.apply_report(
        'p', {'e1': RequestCounts(0, 3)}, {}, 0, now_s=1.0
    )
    assert preemption.runs_to_preempt('e1', slots=4) == 0


@given(st.integers(0, 8), st.integers(0, 8), st.integers(1, 8))
def test_preemption_is_never_more_than_needed(
    online: int,
    batch: int,
    slots: int,
) -> None:
    """Guards against batch runs that are preempted without need."""
    preemption = make_preemption()
    set_running(preemption.loads, 'e1', online, batch)
    excess = preemption.runs_to_preempt('e1', slots)
    assert 0 <= excess <= batch
    assert excess == min(batch, max(0, online + batch - slots))


def failed(item: int, *endpoint_ids: str) -> Candidate:
    """Return an item that has failed on some endpoints."""
    return Candidate('a', item, 1.0, 0, False, frozenset(endpoint_ids))


@pytest.mark.parametrize(
    ('candidates', 'slots', 'usable', 'expected'),
    [
        # The item takes the slot of an endpoint on which it has not failed.
        ([failed(0, 'e1')], ['e1', 'e2'], ['e1', 'e2'], [(0, 'e2')]),
        # It waits for such a slot instead of spending its attempts on the
        # same fault.
        ([failed(0, 'e1'), failed(1)], ['e1'], ['e1', 'e2'], [(1, 'e1')]),
        # It is retried on the same endpoint when there is no other usable one.
        ([failed(0, 'e1')], ['e1'], ['e1'], [(0, 'e1')]),
        ([failed(0, 'e1', 'e2')], ['e2'], ['e1', 'e2'], [(0, 'e2')]),
        ([failed(0), failed(1)], ['e1'], ['e1'], [(0, 'e1')]),
    ],
)
def test_failed_item_goes_to_another_endpoint(
    candidates: list[Candidate],
    slots: list[str],
    usable: list[str],
    expected: list[tuple[int, str]],
) -> None:
    """Guards against items that fail for good on one faulty endpoint."""
    pairs = assign_endpoints(
        candidates,
        [make_endpoint(endpoint_id) for endpoint_id in slots],
        usable,
    )
    assert [
        (candidate.item, endpoint.endpoint_id) for candidate, endpoint in pairs
    ] == expected


def test_items_that_are_late_anyway_go_last() -> None:
    """Guards against an overload in which every job is slightly late."""
    late = Candidate('a', 0, due_ms=1.0, events_done=90, late=True)
    timely = Candidate('b', 0, due_ms=2.0, events_done=0, late=False)
    assert start_order([late, timely]) == [timely, late]


OWN = Member('me', 'i-me', '127.0.0.1', 1)
OTHER = Member('you', 'i-you', '127.0.0.1', 2)


def table_with(owner: Member, *members: Member) -> JobTable:
    """Return a table with one open job of an owner."""
    table = JobTable()
    item = ItemRecord('x', '/p/x', (), 1, 0, 0, 0)
    view = table.view('j')
    view.record = JobRecord('j', 'r', 'h', 0, (item,))
    view.state = JobState(owner.owner_id, owner.instance)
    table.members = {member.owner_id: member for member in members}
    return table


def test_job_of_a_lost_entry_is_taken_over() -> None:
    """Guards against jobs that no entry runs after their owner was lost."""
    ownership = Ownership.of(table_with(OTHER, OWN), OWN)
    assert not ownership.orphans(10.0, 0.0, ())
    assert ownership.orphans(10.1 + OWNER_GRACE_S, 0.0, ()) == ['j']


def test_job_of_an_entry_that_still_reports_stays() -> None:
    """Guards against takeovers when an entry lost only its lease."""
    ownership = Ownership.of(table_with(OTHER, OWN), OWN)
    ownership.orphans(10.0, 0.0, {'you'})
    assert not ownership.orphans(20.0, 0.0, {'you'})


def test_no_takeover_right_after_an_outage() -> None:
    """Guards against mass takeovers when leases lapse in a store outage."""
    ownership = Ownership.of(table_with(OTHER, OWN), OWN)
    up_since_s = 10.0
    ownership.orphans(10.1, up_since_s, ())
    early_s = up_since_s + OUTAGE_GRACE_S - 0.1
    assert not ownership.orphans(early_s, up_since_s, ())
    assert ownership.orphans(early_s + 0.2, up_since_s, ()) == ['j']


def test_job_of_the_own_predecessor_is_taken_over_at_once() -> None:
    """Guards against waiting for the lease of a process that has exited."""
    before = Member('old', OWN.instance, '127.0.0.1', 1)
    ownership = Ownership.of(table_with(before, before, OWN), OWN)
    assert ownership.orphans(1.0, 0.9, ()) == ['j']


def test_only_one_entry_takes_a_job_over() -> None:
    """Guards against two entries that take over the same job."""
    successors = [
        member
        for member in (OWN, OTHER)
        if Ownership.of(
            table_with(Member('x', 'i-x', '', 0), OWN, OTHER),
            member,
        ).should_take_over(
            'j', table_with(Member('x', 'i-x', '', 0)).view('j'), {'x'}
        )
    ]
    assert len(successors) == 1


@pytest.mark.parametrize('ended', [True, False])
def test_ended_job_has_no_waiting_tokens(ended: bool) -> None:
    """Guards against ended jobs that use up the quota for ever."""
    table = table_with(OWN, OWN)
    table.view('j').ended = ended
    assert table.waiting_tokens('r') == (0 if ended else 1)


def test_endpoints_that_left_are_forgotten() -> None:
    """Guards against state that grows with every endpoint that ever ran."""
    fleet = make_fleet([3, 3])
    grants = fleet[0].grants
    for endpoint_id in ('e1', 'e2'):
        grants.may_fill(endpoint_id, 3, now_s=1.0)
    grants.drop_absent({'e2'})
    assert set(grants.batch_runs) == {'e2'}
