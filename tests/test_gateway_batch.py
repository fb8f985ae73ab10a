"""Tests of batch scheduling: slot shares, preemption, order, ownership."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gateway_kit import make_endpoint, set_running
from quetzaldyke.gateway.batch_schedule import (
    BatchPolicy,
    Candidate,
    Demand,
    assign_endpoints,
    start_order,
)
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


def make_policy(seed: int = 1) -> BatchPolicy:
    """Return the policy of the entry `own`."""
    return BatchPolicy('own', LoadTable(), random.Random(seed))


def test_idle_slots_are_filled_at_once_without_other_demand() -> None:
    """Guards against idle slots while only this entry has items to start."""
    slots = make_policy().allocate_slots(
        [make_endpoint('e1'), make_endpoint('e2')],
        Demand(own=20, elsewhere=0, report_age_s=0.1),
        now_s=1.0,
    )
    assert len(slots) == 8


@given(st.integers(0, 10_000), st.integers(2, 20))
def test_entries_together_do_not_overfill(seed: int, entries: int) -> None:
    """Guards against entries that all take the same free slots.

    Shares are rounded at random, so that their sum equals the number of free
    slots only on average; a bound of twice the slots allows for the variance.
    """
    endpoint = make_endpoint('e1', slots=8)
    taken = sum(
        len(
            make_policy(seed * 100 + number).allocate_slots(
                [endpoint],
                Demand(own=5, elsewhere=5 * (entries - 1), report_age_s=0.1),
                now_s=1.0,
            ),
        )
        for number in range(entries)
    )
    assert taken <= 16


def test_slots_are_allocated_once_per_report_round() -> None:
    """Guards against slots taken again before new load reports can arrive."""
    policy = make_policy()
    demand = Demand(own=5, elsewhere=5, report_age_s=0.1)
    endpoint = make_endpoint('e1')
    assert policy.allocate_slots([endpoint], demand, now_s=1.0)
    assert not policy.allocate_slots([endpoint], demand, now_s=1.05)
    assert policy.allocate_slots([endpoint], demand, now_s=1.2)


def test_only_the_entry_with_most_batch_runs_preempts() -> None:
    """Guards against all entries preempting runs for one online request."""
    policy = make_policy()
    set_running(policy.loads, 'e1', online=0, batch=2)
    policy.loads.apply_report(
        'p', {'e1': RequestCounts(2, 1)}, {}, 0, now_s=1.0
    )
    assert policy.runs_to_preempt('e1', slots=4) == 1
    policy.loads.apply_report(
        'p', {'e1': RequestCounts(0, 3)}, {}, 0, now_s=1.0
    )
    assert policy.runs_to_preempt('e1', slots=4) == 0


@given(st.integers(0, 8), st.integers(0, 8), st.integers(1, 8))
def test_preemption_is_never_more_than_needed(
    online: int,
    batch: int,
    slots: int,
) -> None:
    """Guards against batch runs that are preempted without need."""
    policy = make_policy()
    set_running(policy.loads, 'e1', online, batch)
    excess = policy.runs_to_preempt('e1', slots)
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
