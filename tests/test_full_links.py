"""Tests of updates that are too large for the links of their senders."""

from __future__ import annotations

import random
from typing import Final

import pytest

from sharing_fleet import SimulatedFleet

pytestmark = pytest.mark.anyio
ENTRIES: Final = 23
# What a link of 30 Mbit/s holds of a burst, as measured with lost updates.
LINK_BYTES: Final = 80_000
VERSION_BYTES: Final = 20_000
# From the acknowledgement of a version until it is in force everywhere.
APPLY_S: Final = 3.0
STEP_S: Final = 0.1
VERSION_STEPS: Final = 10
STEPS: Final = 60


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio only."""
    return 'asyncio'


async def worst_lag_s(fleet: SimulatedFleet) -> float:
    """Write a version each second; return how late the last entry got one.

    Versions are incompressible, as the hashes of keys in them are.
    """
    generator = random.Random(1)
    written: list[tuple[int, float]] = []
    worst_s = 0.0
    for step in range(STEPS):
        if step % VERSION_STEPS == 0:
            await fleet.write(generator.randbytes(VERSION_BYTES))
            written.append((fleet.store.state.revision, fleet.time.now_s))
        await fleet.step()
        fleet.deliver_all()
        fleet.time.now_s += STEP_S
        for entry in fleet.entries.values():
            newest = entry.applied[-1] if entry.applied else 0
            lacks = [at_s for one, at_s in written if one > newest]
            if lacks:
                worst_s = max(worst_s, fleet.time.now_s - min(lacks))
    return worst_s


async def test_version_reaches_entries_that_the_store_refuses() -> None:
    """Guards against a version that an overfull link loses for good.

    A watcher sends it to all followers at once, and the last ones of its list
    can't call the store themselves.
    """
    fleet = await SimulatedFleet.settled(ENTRIES)
    fleet.link_bytes = LINK_BYTES
    fleet.refused = {
        name for name, one in fleet.entries.items() if one.sharing.sources
    }
    assert await worst_lag_s(fleet) <= APPLY_S


async def test_followers_do_not_call_the_store_for_a_large_version() -> None:
    """Guards against calls to the store that grow with the entries."""
    fleet = await SimulatedFleet.settled(ENTRIES)
    fleet.link_bytes = LINK_BYTES
    fleet.calls = 0
    await worst_lag_s(fleet)
    watchers = sum(not one.sharing.sources for one in fleet.entries.values())
    assert fleet.calls == STEPS * watchers
