"""Measurements on fleets of real processes, for the capacity page."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Final

import anyio

from quetzaldyke.commands.process_fleet import ProcessFleet, start_fleet
from quetzaldyke.commands.rig import FleetPlan, PoolPlan
from quetzaldyke.standins.engine_options import EngineOptions

ORGANISATION: Final = 'capacity'
POOL: Final = 'model'
REQUESTS: Final = 120
LANES: Final = 12
IDLE_S: Final = 6.0
SETTLE_S: Final = 2.0
US_IN_S: Final = 1_000_000
ENGINE: Final = EngineOptions(
    max_streams=16,
    step_ms=10.0,
    per_stream_ms=0.1,
    prefill_ms_per_token=0.01,
)


def plan_of(entries: int, endpoints: int) -> FleetPlan:
    """Return a deployment of this size."""
    return FleetPlan(
        'capacity',
        ('a', 'b'),
        entries=entries,
        pools=(PoolPlan(POOL, endpoints, engine=ENGINE),),
        organisations={ORGANISATION: 'capacity-key'},
    )


@asynccontextmanager
async def running(entries: int, endpoints: int) -> AsyncIterator[ProcessFleet]:
    """Run a fleet that has settled."""
    async with AsyncExitStack() as stack:
        fleet = await start_fleet(stack, plan_of(entries, endpoints))
        await anyio.sleep(SETTLE_S)
        yield fleet


async def drive(fleet: ProcessFleet, tokens: int) -> None:
    """Send requests over several lanes."""

    async def lane(number: int) -> None:
        caller = fleet.caller(ORGANISATION, number)
        for turn in range(REQUESTS // LANES):
            outcome = await caller.chat(POOL, f'{number} {turn}', tokens)
            if not outcome.whole:
                raise RuntimeError(f'the answer is broken: {outcome.error}')
        await caller.pool.aclose()

    async with anyio.create_task_group() as group:
        for number in range(LANES):
            group.start_soon(lane, number)


async def relay_cpu_us(tokens: int) -> dict[str, float]:
    """Return CPU in us for one request of this many tokens, by role."""
    async with running(1, 1) as fleet:
        await drive(fleet, 4)
        roles = ('entry', 'sidecar')
        before = {role: fleet.named(role)[0].cpu_s() for role in roles}
        await drive(fleet, tokens)
        return {
            role: (fleet.named(role)[0].cpu_s() - before[role])
            / REQUESTS
            * US_IN_S
            for role in roles
        }


async def entry_relay_us(tokens: int) -> float:
    """CPU of an entry for one streamed request."""
    return (await relay_cpu_us(tokens))['entry']


async def sidecar_relay_us(tokens: int) -> float:
    """CPU of a sidecar for one streamed request."""
    return (await relay_cpu_us(tokens))['sidecar']


async def idle_share(role: str, entries: int, endpoints: int) -> float:
    """Return the per cent of a core that an idle process of a role uses."""
    async with running(entries, endpoints) as fleet:
        members = fleet.named(role)
        before = sum(one.cpu_s() for one in members)
        await anyio.sleep(IDLE_S)
        used_s = sum(one.cpu_s() for one in members) - before
        return used_s / len(members) / IDLE_S * 100


async def entry_idle_percent(endpoints: int) -> float:
    """Per cent of a core of one idle entry before `endpoints` sidecars."""
    return await idle_share('entry', 1, endpoints)


async def sidecar_idle_percent(entries: int) -> float:
    """Per cent of a core of one idle sidecar behind `entries` entries."""
    return await idle_share('sidecar', entries, 1)


async def entry_memory_mb(endpoints: int) -> float:
    """Resident MB of one idle entry before `endpoints` sidecars."""
    async with running(1, endpoints) as fleet:
        return fleet.named('entry')[0].memory_mb()


async def sidecar_memory_mb(entries: int) -> float:
    """Resident MB of one idle sidecar behind `entries` entries."""
    async with running(entries, 1) as fleet:
        return fleet.named('sidecar')[0].memory_mb()


async def store_calls_per_s(entries: int) -> float:
    """Calls a second to the key-value service by an idle fleet."""
    async with running(entries, 2) as fleet:
        before = await calls_of(fleet)
        await anyio.sleep(IDLE_S)
        return (await calls_of(fleet) - before) / IDLE_S


async def calls_of(fleet: ProcessFleet) -> int:
    """Return all calls that the key-value service has got."""
    control = fleet.control('kv')
    _, counts = await control.request('GET', '/counts')
    await control.pool.aclose()
    assert isinstance(counts, dict)
    return sum(counts['calls'].values())
