"""Tests of the watches that a few entries make for the whole fleet."""

from __future__ import annotations

from unittest import mock

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from gateway_kit import FakeStore
from quetzaldyke.gateway.endpoints import LAPSE_GRACE_S
from quetzaldyke.gateway.gossip_messages import WatchUpdate
from quetzaldyke.gateway.job_records import MEMBER_PREFIX, Member
from quetzaldyke.gateway.job_table import JobTable
from quetzaldyke.gateway.shared_watch import (
    MAX_BURST_BYTES,
    MAX_POLL_DELAY_S,
    MAX_SILENCE_S,
    MIN_POLL_DELAY_S,
    SOURCES_PER_FOLLOWER,
    limit_changes,
    max_confirmation_age_s,
    sources_of,
    watchers_of,
)
from quetzaldyke.gateway.watch import (
    CATCH_UP_WAIT_S,
    OWN_CALL,
    WATCH_WAIT_S,
    PrefixWatcher,
)
from quetzaldyke.parts.kv import Record
from quetzaldyke.parts.transactions import (
    Snapshot,
    WatchBatch,
    WatchedChange,
)
from sharing_fleet import PREFIX, SimulatedFleet

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio only."""
    return 'asyncio'


async def test_calls_do_not_grow_with_the_entries() -> None:
    """Guards against a store whose load is that of every entry's watch."""
    fleet = await SimulatedFleet.settled(60)
    fleet.calls = 0
    for _ in range(10):
        fleet.time.now_s += 0.3
        await fleet.write()
        await fleet.step()
        fleet.deliver_all()
    watchers = len(watchers_of(fleet.entries))
    assert fleet.calls == 10 * watchers
    assert watchers == 4
    written = [revision for revision in range(1, 11)]
    assert all(one.applied == written for one in fleet.entries.values())


async def test_loss_of_one_watcher_delays_nothing() -> None:
    """Guards against followers that wait for a dead watcher."""
    fleet = await SimulatedFleet.settled(20)
    fleet.silent = {watchers_of(fleet.entries)[0]}
    await fleet.write()
    await fleet.step()
    fleet.deliver_all()
    assert all(one.applied == [1] for one in fleet.entries.values())


async def test_entries_watch_themselves_without_watchers() -> None:
    """Guards against a fleet that misses changes when its watchers die."""
    fleet = await SimulatedFleet.settled(20)
    watchers = watchers_of(fleet.entries)
    fleet.silent = set(watchers)
    fleet.time.now_s += MAX_SILENCE_S + 0.01
    await fleet.write()
    await fleet.step()
    assert all(
        one.applied == [1]
        for name, one in fleet.entries.items()
        if name not in watchers
    )


async def test_watcher_that_confirms_nothing_is_not_relied_on() -> None:
    """Guards against an entry that trusts a watcher cut off from the store."""
    fleet = await SimulatedFleet.settled(4)
    follower = fleet.follower()
    assert not follower.must_call()
    fleet.time.now_s += max_confirmation_age_s(follower.watcher)
    for name in fleet.entries:
        follower.reports[name] = fleet.time.now_s
    assert follower.must_call()


@given(st.data())
async def test_changes_are_applied_once_and_in_order(
    data: st.DataObject,
) -> None:
    """Guards against missed, doubled or reverted changes.

    Updates are lost, delayed, repeated and overtaken, and watchers fall
    silent.
    """
    fleet = SimulatedFleet.of_size(6)
    actions = st.sampled_from(
        ['write', 'step', 'deliver', 'lose', 'repeat', 'pause', 'silence']
    )
    for action in data.draw(st.lists(actions, max_size=40)):
        number = data.draw(st.integers(0, 9))
        await perform(fleet, action, number)
        for entry in fleet.entries.values():
            last = entry.applied[-1] if entry.applied else 0
            first = entry.applied[0] if entry.applied else 1
            assert entry.applied == list(range(first, last + 1))
    fleet.silent = set()
    fleet.updates = []
    fleet.time.now_s += max(
        max_confirmation_age_s(one.watcher) for one in fleet.entries.values()
    )
    await fleet.step()
    revisions = {one.watcher.revision for one in fleet.entries.values()}
    assert revisions == {fleet.store.state.revision}


async def perform(fleet: SimulatedFleet, action: str, number: int) -> None:
    """Perform one action of the random scenario."""
    match action:
        case 'write':
            await fleet.write()
        case 'step':
            await fleet.step()
        case 'deliver' if fleet.updates:
            fleet.deliver(number)
        case 'lose' if fleet.updates:
            fleet.updates.pop(number % len(fleet.updates))
        case 'repeat' if fleet.updates:
            fleet.updates.append(fleet.updates[number % len(fleet.updates)])
        case 'pause':
            fleet.time.now_s += number / 5
        case 'silence':
            fleet.silent ^= {f'e{number % 6}'}


@given(st.integers(1, 700))
def test_followers_have_two_sources_and_even_shares(size: int) -> None:
    """Guards against a watcher that feeds most of the fleet."""
    members = [f'm{number}' for number in range(size)]
    watchers = watchers_of(members)
    shares = dict.fromkeys(watchers, 0)
    for member in members:
        sources = sources_of(member, watchers)
        followed = min(SOURCES_PER_FOLLOWER, len(watchers))
        assert len(sources) == (0 if member in watchers else followed)
        for source in sources:
            shares[source] += 1
    followers = size - len(watchers)
    even = SOURCES_PER_FOLLOWER * followers / max(1, len(watchers))
    assert max(shares.values()) <= 2 * even + 8


def test_large_changes_are_left_to_the_receivers() -> None:
    """Guards against datagrams that the network can't carry."""
    small = WatchedChange('k', 1, b'x')
    large = WatchedChange('k', 1, bytes(MAX_BURST_BYTES))
    assert limit_changes([small], 1) == (small,)
    assert limit_changes([small, large], 1) is None
    half = WatchedChange('k', 1, bytes(MAX_BURST_BYTES // 2))
    assert limit_changes([half], 1) == (half,)
    assert limit_changes([half], 2) is None


async def test_changes_that_no_one_sends_are_read_from_the_store() -> None:
    """Guards against confirming an update whose changes are missing."""
    fleet = SimulatedFleet.of_size(3)
    follower = fleet.follower()
    follower.watcher.revision = 4
    source = follower.sharing.sources[0]
    follower.sharing.on_update(WatchUpdate(source, PREFIX, 4, 6, None, 0.0))
    await follower.close_gap()
    assert follower.watcher.behind.is_set()
    assert not follower.sharing.confirmed_s
    assert follower.watcher.revision == 4


def test_update_after_an_outage_keeps_lapsed_registrations() -> None:
    """Guards against endpoints removed in an outage that others saw."""
    fleet = SimulatedFleet.of_size(3)
    follower = fleet.follower()
    source = follower.sharing.sources[0]
    update = WatchUpdate(source, PREFIX, 0, 0, (), LAPSE_GRACE_S)
    follower.sharing.on_update(update)
    endpoints = follower.sharing.endpoints
    assert endpoints.lapse_grace_s(fleet.time.now_s) == pytest.approx(
        LAPSE_GRACE_S
    )
    assert not endpoints.lapse_grace_s(fleet.time.now_s + LAPSE_GRACE_S)


async def test_batch_during_updates_is_not_applied_twice() -> None:
    """Guards against a watch call that returns what an update brought."""
    fleet = SimulatedFleet.of_size(1)
    entry = fleet.entries['e0']
    entry.watcher.revision = 0
    change = WatchedChange(f'{PREFIX}k', 1, b'x')
    assert entry.watcher.apply_update(0, (change,), 1, 'e1')
    batch = WatchBatch([change, WatchedChange(f'{PREFIX}k', 2, b'y')], 2)
    entry.watcher.advance(batch.changes, batch.revision, OWN_CALL)
    assert entry.applied == [1, 2]


async def test_followers_hear_of_a_listing_after_lost_history() -> None:
    """Guards against followers that wait for their watcher's next change.

    The changes that the store has dropped are in no update.
    """
    fleet = await SimulatedFleet.settled(3)
    follower = fleet.follower()
    assert not follower.must_call()
    source = fleet.entries[follower.sharing.sources[0]]
    await fleet.write()
    source.watcher.revision = None
    assert await source.watcher.poll()
    fleet.deliver_all()
    await follower.close_gap()
    assert follower.must_call()
    assert follower.watcher.behind.is_set()


async def test_follower_calls_at_once_when_its_sources_are_no_members() -> None:
    """Guards against an entry that waits for sources that have lapsed.

    It may wait for an update at that moment.
    """
    fleet = await SimulatedFleet.settled(4)
    follower = fleet.follower()
    assert not follower.watcher.behind.is_set()
    follower.sharing.set_members([])
    assert follower.watcher.behind.is_set()
    assert follower.must_call()


async def test_failing_callback_does_not_end_the_watch() -> None:
    """Guards against an unexpected error that ends the process."""
    seen: list[int] = []

    def fail_once(changes: list[WatchedChange], revision: int) -> None:
        seen.append(revision)
        if len(seen) == 1:
            raise KeyError('unexpected')

    fleet = SimulatedFleet.of_size(1)
    watcher = PrefixWatcher(
        fleet.store, PREFIX, lambda snapshot: None, fail_once, revision=0
    )
    for _ in range(2):
        await fleet.write()
        assert await watcher.poll()
    assert seen == [1, 2]


def test_update_of_a_paused_watcher_confirms_nothing() -> None:
    """Guards against relying on a watcher whose news is old."""
    fleet = SimulatedFleet.of_size(3)
    follower = fleet.follower()
    follower.watcher.revision = 9
    source = follower.sharing.sources[0]
    follower.sharing.on_update(WatchUpdate(source, PREFIX, 4, 8, (), 0.0))
    assert not follower.sharing.confirmed_s
    assert follower.watcher.revision == 9
    follower.sharing.on_update(WatchUpdate(source, PREFIX, 4, 9, (), 0.0))
    assert follower.sharing.confirmed_s


def test_watchers_that_left_are_forgotten() -> None:
    """Guards against state that grows with every entry that ever ran."""
    fleet = SimulatedFleet.of_size(3)
    follower = fleet.follower()
    follower.watcher.revision = 9
    gone, kept = follower.sharing.sources
    for source in (gone, kept):
        follower.sharing.on_update(WatchUpdate(source, PREFIX, 9, 9, (), 0.0))
    follower.sharing.set_members({follower.sharing.own_id, kept})
    assert set(follower.sharing.confirmed_s) == {(kept, PREFIX)}


async def test_first_call_after_following_does_not_wait() -> None:
    """Guards against a configuration that is confirmed too late.

    The watchers may have been cut off from the store for seconds when their
    follower calls it again.
    """
    fleet = SimulatedFleet.of_size(1)
    watcher = fleet.entries['e0'].watcher
    watcher.revision = 0
    rests = [0.01, 0.0, 0.0]
    watcher.follow_s = lambda: rests.pop(0) if rests else 0.0
    waits: list[float] = []

    async def watch(
        _store: FakeStore, _prefix: str, after: int, wait_s: float
    ) -> Ok[WatchBatch]:
        waits.append(wait_s)
        await anyio.sleep(0.01)
        return Ok(WatchBatch([], after))

    with mock.patch.object(FakeStore, 'watch', watch):
        with anyio.move_on_after(5):
            async with anyio.create_task_group() as group:
                group.start_soon(watcher.run)
                while len(waits) < 2:
                    await anyio.sleep(0.01)
                group.cancel_scope.cancel()
    assert waits[:2] == [CATCH_UP_WAIT_S, WATCH_WAIT_S]


def test_members_are_taken_over_once_for_each_set_of_changes() -> None:
    """Guards against work at a common start that grows with the square.

    Choosing watchers and followers costs time for each member, so it must not
    be done for each member that is seen.
    """
    table = JobTable()
    seen: list[int] = []
    table.on_members = lambda: seen.append(len(table.members))
    records = [
        Record(f'{MEMBER_PREFIX}m{number}', member_record(number), 1)
        for number in range(300)
    ]
    table.apply_snapshot(Snapshot(records, 1))
    assert seen == [300]
    gone = [
        WatchedChange(f'{MEMBER_PREFIX}m{number}', 2, None)
        for number in range(5)
    ]
    table.apply_changes(gone, 2)
    table.apply_changes([], 3)
    assert seen == [300, 295]


def member_record(number: int) -> bytes:
    """Return the stored record of a member."""
    return Member(f'm{number}', f'i{number}', '10.0.0.1', 7000).pack()


def test_entries_that_start_together_let_changes_accumulate() -> None:
    """Guards against a call of every entry for each one that registers.

    No watchers are chosen yet when all entries start at once.
    """
    fleet = SimulatedFleet.of_size(1)
    sharing = fleet.make_entry('new').sharing
    assert not sharing.watchers
    assert sharing.poll_delay_s() >= MIN_POLL_DELAY_S
    sharing.set_members([f'e{number}' for number in range(300)])
    assert MIN_POLL_DELAY_S < sharing.poll_delay_s() <= MAX_POLL_DELAY_S
