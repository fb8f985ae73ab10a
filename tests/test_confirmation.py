"""Tests of what an entry knows and logs about the age of its tables."""

from __future__ import annotations

from collections.abc import Mapping

import pytest
from result import Result

from gateway_kit import FakeStore, FakeTime
from quetzaldyke.gateway import logs
from quetzaldyke.gateway.gossip_messages import WatchUpdate, decode, encode
from quetzaldyke.gateway.shared_watch import (
    max_confirmation_age_s,
)
from quetzaldyke.gateway.watch import (
    CATCH_UP_WAIT_S,
    MS_IN_S,
    OWN_CALL,
    PrefixWatcher,
)
from quetzaldyke.parts.kv import KvError
from quetzaldyke.parts.transactions import WatchBatch, WatchedChange
from sharing_fleet import PREFIX, SimulatedFleet

pytestmark = pytest.mark.anyio
DELAY_S = 0.7


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


@pytest.fixture
def events(monkeypatch: pytest.MonkeyPatch) -> list[Mapping[str, object]]:
    """Collect the log events of this process."""
    collected: list[Mapping[str, object]] = []
    monkeypatch.setattr(logs, 'DESTINATIONS', [collected.append])
    return collected


class DelayingStore(FakeStore):
    """A store whose answers to watches are late."""

    time: FakeTime

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Result[WatchBatch, KvError]:
        """Return the changes at the time of the call, but later."""
        answer = await super().watch(prefix, after_revision, wait_s)
        self.time.now_s += DELAY_S
        return answer


async def test_delayed_answer_confirms_the_time_of_its_call() -> None:
    """Guards against a table that counts as fresh after a late answer."""
    store = DelayingStore()
    store.time = FakeTime()
    watcher = PrefixWatcher(
        store,
        PREFIX,
        lambda snapshot: None,
        lambda *_: None,
        revision=0,
        now=store.time.read,
    )
    called_s = store.time.now_s
    assert await watcher.poll()
    assert watcher.confirmation.as_of_s == called_s
    assert watcher.confirmation.age_s(store.time.now_s) == pytest.approx(
        DELAY_S
    )


async def test_update_is_as_old_as_the_call_of_its_watcher() -> None:
    """Guards against a follower that takes a watcher's late news for new."""
    fleet = SimulatedFleet.of_size(3)
    follower = fleet.follower()
    follower.watcher.revision = 9
    source = follower.sharing.sources[0]
    update = WatchUpdate(source, PREFIX, 4, 9, (), 0.0, DELAY_S)
    assert decode(encode(update)) == update
    follower.sharing.on_update(update)
    assert follower.watcher.confirmation.source == source
    assert follower.watcher.confirmation.age_s(
        fleet.time.now_s
    ) == pytest.approx(DELAY_S)


async def test_update_is_not_newer_than_its_arrival() -> None:
    """Guards against callbacks whose time makes a table look newer."""
    fleet = SimulatedFleet.of_size(3)
    follower = fleet.follower()
    follower.watcher.revision = 8
    arrived_s = fleet.time.now_s

    def be_slow(*_: object) -> None:
        fleet.time.now_s += DELAY_S

    follower.watcher.on_changes = be_slow
    change = WatchedChange(f'{PREFIX}k', 9, b'x')
    source = follower.sharing.sources[0]
    follower.sharing.on_update(WatchUpdate(source, PREFIX, 8, 9, (change,), 0))
    assert follower.watcher.confirmation.as_of_s == arrived_s


async def test_short_watch_without_changes_confirms_nothing() -> None:
    """Guards against a store whose watches hear nothing for a moment.

    It does so before it drops its history. Reads of keys are not concerned.
    """
    fleet = await SimulatedFleet.settled(3)
    source = next(
        one for one in fleet.entries.values() if one.sharing.followers
    )
    follower = fleet.entries[source.sharing.followers[-1]]
    as_of_s = source.watcher.confirmation.as_of_s
    fleet.time.now_s += DELAY_S
    assert await source.watcher.poll(CATCH_UP_WAIT_S)
    fleet.deliver_all()
    assert source.watcher.confirmation.as_of_s == as_of_s
    assert follower.watcher.confirmation.as_of_s == pytest.approx(as_of_s)
    await fleet.write()
    assert await source.watcher.poll(CATCH_UP_WAIT_S)
    assert source.watcher.confirmation.as_of_s == fleet.time.now_s


async def test_own_call_is_named_as_the_source() -> None:
    """Guards against logs that name a source for an entry's own call."""
    fleet = SimulatedFleet.of_size(1)
    watcher = fleet.entries['e0'].watcher
    assert await watcher.poll()
    assert watcher.confirmation.source == OWN_CALL


async def test_entry_logs_why_it_leaves_its_sources(
    events: list[Mapping[str, object]],
) -> None:
    """Guards against logs that can't tell a silent source from an idle one."""
    fleet = await SimulatedFleet.settled(4)
    follower = fleet.follower()
    age_s = max_confirmation_age_s(follower.watcher)
    fleet.time.now_s += age_s
    for name in fleet.entries:
        follower.reports[name] = fleet.time.now_s
    follower.watcher.on_resume()
    resumed = [one for one in events if one['message_type'] == 'watch_resumed']
    assert [one['reported_ms'] for one in resumed] == ['0,0']
    age = str(round(age_s * MS_IN_S))
    assert [one['source_confirmed_ms'] for one in resumed] == [f'{age},{age}']


async def test_roles_are_logged_when_they_change(
    events: list[Mapping[str, object]],
) -> None:
    """Guards against an entry without followers that no line shows."""
    fleet = SimulatedFleet.of_size(4)
    one = next(
        entry for entry in fleet.entries.values() if entry.sharing.followers
    )
    events.clear()
    one.sharing.set_members(list(fleet.entries))
    assert not events
    one.sharing.set_members([])
    assert [event['followers'] for event in events] == [0]
