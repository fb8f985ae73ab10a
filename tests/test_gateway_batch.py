"""Tests of batch decisions: sharing slots, yielding, order, owners."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gateway_kit import make_endpoint, use
from quetzaldyke.gateway.batch_schedule import (
    BatchPolicy,
    Candidate,
    Demand,
    pair,
    start_order,
)
from quetzaldyke.gateway.job_book import JobBook
from quetzaldyke.gateway.job_records import (
    ItemRecord,
    JobRecord,
    JobState,
    Member,
)
from quetzaldyke.gateway.loads import LoadTable, RequestCounts
from quetzaldyke.gateway.membership import (
    OUTAGE_GRACE_S,
    OWNER_GRACE_S,
    Ownership,
)


def make_policy(seed: int = 1) -> BatchPolicy:
    """Return the policy of entry `own`."""
    return BatchPolicy('own', LoadTable(), random.Random(seed))


def test_idle_slots_are_filled_at_once_without_rivals() -> None:
    """Guards against idle slots while only this entry has work."""
    rooms = make_policy().rooms(
        [make_endpoint('e1'), make_endpoint('e2')],
        Demand(own=20, elsewhere=0, news_age_s=0.1),
        now_s=1.0,
    )
    assert len(rooms) == 8


@given(st.integers(0, 10_000), st.integers(2, 20))
def test_entries_together_do_not_overfill(seed: int, entries: int) -> None:
    """Guards against entries that all take the same free slots.

    The shares are rounded by lot, so that their sum only meets the number
    of free slots on average; a bound of twice the slots leaves out chance.
    """
    endpoint = make_endpoint('e1', slots=8)
    taken = sum(
        len(
            make_policy(seed * 100 + number).rooms(
                [endpoint],
                Demand(own=5, elsewhere=5 * (entries - 1), news_age_s=0.1),
                now_s=1.0,
            ),
        )
        for number in range(entries)
    )
    assert taken <= 16


def test_slots_are_shared_out_once_a_round() -> None:
    """Guards against lots that are drawn again before news can come."""
    policy = make_policy()
    demand = Demand(own=5, elsewhere=5, news_age_s=0.1)
    endpoint = make_endpoint('e1')
    assert policy.rooms([endpoint], demand, now_s=1.0)
    assert not policy.rooms([endpoint], demand, now_s=1.05)
    assert policy.rooms([endpoint], demand, now_s=1.2)


def test_only_the_largest_holder_yields() -> None:
    """Guards against all entries stopping runs for one online request."""
    policy = make_policy()
    use(policy.loads, 'e1', online=0, batch=2)
    policy.loads.apply_report(
        'p', {'e1': RequestCounts(2, 1)}, {}, 0, now_s=1.0
    )
    assert policy.surplus('e1', slots=4) == 1
    policy.loads.apply_report(
        'p', {'e1': RequestCounts(0, 3)}, {}, 0, now_s=1.0
    )
    assert policy.surplus('e1', slots=4) == 0


@given(st.integers(0, 8), st.integers(0, 8), st.integers(1, 8))
def test_yield_is_never_more_than_needed(
    online: int,
    batch: int,
    slots: int,
) -> None:
    """Guards against batch work that is stopped without need."""
    policy = make_policy()
    use(policy.loads, 'e1', online, batch)
    surplus = policy.surplus('e1', slots)
    assert 0 <= surplus <= batch
    assert surplus == min(batch, max(0, online + batch - slots))


def failed(item: int, *endpoint_ids: str) -> Candidate:
    """Return an item that has failed at some endpoints."""
    return Candidate('a', item, 1.0, 0, False, frozenset(endpoint_ids))


@pytest.mark.parametrize(
    ('candidates', 'rooms', 'usable', 'expected'),
    [
        # The item takes the slot of an endpoint that has not failed it.
        ([failed(0, 'e1')], ['e1', 'e2'], ['e1', 'e2'], [(0, 'e2')]),
        # It waits for one rather than using up its attempts at the fault.
        ([failed(0, 'e1'), failed(1)], ['e1'], ['e1', 'e2'], [(1, 'e1')]),
        # With no other endpoint at all it tries again.
        ([failed(0, 'e1')], ['e1'], ['e1'], [(0, 'e1')]),
        ([failed(0, 'e1', 'e2')], ['e2'], ['e1', 'e2'], [(0, 'e2')]),
        ([failed(0), failed(1)], ['e1'], ['e1'], [(0, 'e1')]),
    ],
)
def test_failed_item_goes_to_another_endpoint(
    candidates: list[Candidate],
    rooms: list[str],
    usable: list[str],
    expected: list[tuple[int, str]],
) -> None:
    """Guards against items given up over one endpoint that fails them."""
    pairs = pair(candidates, [make_endpoint(one) for one in rooms], usable)
    assert [
        (candidate.item, one.endpoint_id) for candidate, one in pairs
    ] == expected


def test_items_that_are_late_anyway_go_last() -> None:
    """Guards against overload that makes every job late by a little."""
    late = Candidate('a', 0, due_ms=1.0, events_done=90, late=True)
    timely = Candidate('b', 0, due_ms=2.0, events_done=0, late=False)
    assert start_order([late, timely]) == [timely, late]


OWN = Member('me', 'i-me', '127.0.0.1', 1)
OTHER = Member('you', 'i-you', '127.0.0.1', 2)


def book_with(owner: Member, *members: Member) -> JobBook:
    """Return a book with one open job of an owner."""
    book = JobBook()
    item = ItemRecord('x', '/p/x', (), 1, 0, 0, 0)
    view = book.view('j')
    view.record = JobRecord('j', 'r', 'h', 0, (item,))
    view.state = JobState(owner.owner_id, owner.instance)
    book.members = {one.owner_id: one for one in members}
    return book


def test_job_of_a_lost_entry_is_taken_over() -> None:
    """Guards against jobs that nobody runs after their entry died."""
    ownership = Ownership.of(book_with(OTHER, OWN), OWN)
    assert not ownership.orphans(10.0, 0.0, ())
    assert ownership.orphans(10.1 + OWNER_GRACE_S, 0.0, ()) == ['j']


def test_job_of_an_entry_that_sent_since_stays() -> None:
    """Guards against takeovers when only a lease was lost."""
    ownership = Ownership.of(book_with(OTHER, OWN), OWN)
    ownership.orphans(10.0, 0.0, {'you'})
    assert not ownership.orphans(20.0, 0.0, {'you'})


def test_no_takeover_right_after_an_outage() -> None:
    """Guards against a storm of takeovers when leases lapsed in an outage."""
    ownership = Ownership.of(book_with(OTHER, OWN), OWN)
    up_since_s = 10.0
    ownership.orphans(10.1, up_since_s, ())
    early_s = up_since_s + OUTAGE_GRACE_S - 0.1
    assert not ownership.orphans(early_s, up_since_s, ())
    assert ownership.orphans(early_s + 0.2, up_since_s, ()) == ['j']


def test_job_of_the_own_predecessor_is_taken_at_once() -> None:
    """Guards against waiting for the lease of a process that is dead."""
    before = Member('old', OWN.instance, '127.0.0.1', 1)
    ownership = Ownership.of(book_with(before, before, OWN), OWN)
    assert ownership.orphans(1.0, 0.9, ()) == ['j']


def test_one_heir_only() -> None:
    """Guards against two entries that take over the same job."""
    successors = [
        member
        for member in (OWN, OTHER)
        if Ownership.of(
            book_with(Member('x', 'i-x', '', 0), OWN, OTHER),
            member,
        ).should_take_over(
            'j', book_with(Member('x', 'i-x', '', 0)).view('j'), {'x'}
        )
    ]
    assert len(successors) == 1


@pytest.mark.parametrize('ended', [True, False])
def test_ended_job_has_no_waiting_tokens(ended: bool) -> None:
    """Guards against a quota that ended jobs fill for ever."""
    book = book_with(OWN, OWN)
    book.view('j').ended = ended
    assert book.waiting_tokens('r') == (0 if ended else 1)
