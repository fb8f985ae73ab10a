"""Tests of followers whose sources report that they lost the store."""

from __future__ import annotations

from pathlib import Path
from unittest import mock

import pytest

from quetzaldyke.gateway.entry_upkeep import exchange_load
from quetzaldyke.gateway.gossip import Gossip
from quetzaldyke.gateway.shared_watch import (
    MAX_SILENCE_S,
    max_confirmation_age_s,
)
from quetzaldyke.gateway.store_health import MAX_SILENCE_S as STORE_SILENCE_S
from quetzaldyke.gateway.store_health import StoreHealth
from sharing_fleet import SimulatedEntry, SimulatedFleet
from test_outage_members import list_members, make_entry

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


async def make_follower(
    lost: set[str],
) -> tuple[SimulatedFleet, SimulatedEntry]:
    """Return a fleet, and one of its followers that is up to date.

    The sources in `lost` report that they don't reach the store.
    """
    fleet = await SimulatedFleet.settled(4)
    follower = fleet.follower()
    follower.sharing.reaches_store = lambda source: source not in lost
    assert not follower.must_call()
    return fleet, follower


def report(fleet: SimulatedFleet, follower: SimulatedEntry) -> None:
    """Let the load reports of all entries arrive."""
    for name in fleet.entries:
        follower.reports[name] = fleet.time.now_s
        follower.sharing.on_report(name)


async def test_follower_leaves_sources_that_lost_the_store() -> None:
    """Guards against an entry that hears nothing for as long as its sources.

    Cut off from the store, they still send load reports.
    """
    lost: set[str] = set()
    fleet, follower = await make_follower(lost)
    fleet.time.now_s += MAX_SILENCE_S
    report(fleet, follower)
    assert not follower.must_call()
    lost.update(follower.sharing.sources)
    report(fleet, follower)
    assert follower.watcher.behind.is_set()
    assert follower.must_call()


async def test_follower_keeps_a_source_that_reaches_the_store() -> None:
    """Guards against a fleet that calls the store when one watcher is cut."""
    lost: set[str] = set()
    fleet, follower = await make_follower(lost)
    fleet.time.now_s += MAX_SILENCE_S
    lost.add(follower.sharing.sources[0])
    report(fleet, follower)
    assert not follower.must_call()


async def test_source_that_reads_through_a_peer_is_followed() -> None:
    """Guards against leaving sources whose updates go on arriving."""
    lost: set[str] = set()
    fleet, follower = await make_follower(lost)
    lost.update(follower.sharing.sources)
    fleet.time.now_s += MAX_SILENCE_S / 2
    report(fleet, follower)
    assert not follower.must_call()
    assert MAX_SILENCE_S < max_confirmation_age_s(follower.watcher)


def test_store_that_does_not_answer_is_not_reported_as_reached() -> None:
    """Guards against reports that deny a loss until two calls have failed."""
    health = StoreHealth()
    assert not health.up_s(5.0)
    health.note(answered=True, now_s=10.0)
    assert health.up_s(10.0 + STORE_SILENCE_S - 0.01)
    assert not health.up_s(10.0 + STORE_SILENCE_S + 0.01)
    health.note(answered=True, now_s=12.0)
    assert health.up_s(12.5) == pytest.approx(2.5)


async def test_loss_of_the_store_is_reported_at_once(tmp_path: Path) -> None:
    """Guards against followers that learn of a loss with a heartbeat only."""
    entry = make_entry(tmp_path / 'log')
    list_members(entry)
    now_s = entry.clock.now()
    entry.store.path.direct.last_answer_s = now_s - 2 * STORE_SILENCE_S
    with mock.patch.object(Gossip, 'note_change') as schedule:
        await exchange_load(entry)
        schedule.assert_not_called()
        entry.gossip.reported_store = True
        await exchange_load(entry)
        schedule.assert_called_once()
        entry.store.path.direct.note(answered=True, now_s=now_s)
        await exchange_load(entry)
        schedule.assert_called_once()


def test_report_tells_whether_the_store_was_reached(tmp_path: Path) -> None:
    """Guards against a loss that is compared with no earlier report."""
    entry = make_entry(tmp_path / 'log')
    assert not entry.gossip.make_report().store_up_s
    entry.store.path.direct.note(answered=True, now_s=entry.clock.now() - 0.1)
    assert entry.gossip.make_report().store_up_s > 0
