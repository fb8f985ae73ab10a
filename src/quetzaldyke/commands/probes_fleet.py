"""Measures costs on fleets of real processes, for docs/CAPACITY.md."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from statistics import fmean
from typing import Final

import anyio

from quetzaldyke.commands.process_fleet import ProcessFleet, start_fleet
from quetzaldyke.commands.task_fleet import FleetPlan, PoolPlan
from quetzaldyke.standins.engine_options import EngineOptions

ORGANISATION: Final = 'capacity'
POOL: Final = 'model'
ROLES: Final = ('entry', 'sidecar')
REQUESTS: Final = 120
WORKERS: Final = 12
IDLE_S: Final = 4.0
SETTLE_S: Final = 2.0
US_IN_S: Final = 1_000_000
ENGINE: Final = EngineOptions(
    max_streams=16,
    step_ms=10.0,
    per_stream_ms=0.1,
    prefill_ms_per_token=0.01,
)


def make_plan(entries: int, endpoints: int) -> FleetPlan:
    """Return a deployment with these numbers of entries and endpoints."""
    return FleetPlan(
        'capacity',
        ('a', 'b'),
        entries=entries,
        pools=(PoolPlan(POOL, endpoints, engine=ENGINE),),
        organisations={ORGANISATION: 'capacity-key'},
    )


@asynccontextmanager
async def running_fleet(
    entries: int, endpoints: int
) -> AsyncIterator[ProcessFleet]:
    """Run a fleet and yield it once start-up load has settled."""
    async with AsyncExitStack() as stack:
        fleet = await start_fleet(stack, make_plan(entries, endpoints))
        await anyio.sleep(SETTLE_S)
        yield fleet


async def send_requests(fleet: ProcessFleet, tokens: int) -> None:
    """Send requests from concurrent workers; raise on an incomplete answer."""

    async def worker(number: int) -> None:
        caller = fleet.caller(ORGANISATION, number)
        for request_number in range(REQUESTS // WORKERS):
            outcome = await caller.chat(
                POOL, f'{number} {request_number}', tokens
            )
            if not outcome.complete:
                raise RuntimeError(f'incomplete answer: {outcome.error}')
        await caller.pool.aclose()

    async with anyio.create_task_group() as group:
        for number in range(WORKERS):
            group.start_soon(worker, number)


async def relay_costs(tokens: int) -> dict[str, float]:
    """Return CPU time in us per request with `tokens` tokens, by role."""
    async with running_fleet(1, 1) as fleet:
        await send_requests(fleet, 4)
        before = {role: fleet.with_role(role)[0].cpu_s() for role in ROLES}
        await send_requests(fleet, tokens)
        return {
            f'{role}_relay': (fleet.with_role(role)[0].cpu_s() - before[role])
            / REQUESTS
            * US_IN_S
            for role in ROLES
        }


async def idle_costs(fleet: ProcessFleet, role: str) -> dict[str, float]:
    """Return mean CPU and memory of idle processes of a role.

    It also returns the fleet's key-value calls per second.
    """
    members = fleet.with_role(role)
    before = sum(member.cpu_s() for member in members)
    calls_before = await count_store_calls(fleet)
    await anyio.sleep(IDLE_S)
    used_s = sum(member.cpu_s() for member in members) - before
    return {
        f'{role}_idle': used_s / len(members) / IDLE_S * 100,
        f'{role}_memory': fmean([member.memory_mb() for member in members]),
        'store_calls': (await count_store_calls(fleet) - calls_before) / IDLE_S,
    }


async def entry_costs(endpoints: int) -> dict[str, float]:
    """Return the costs of an idle entry connected to `endpoints` sidecars."""
    async with running_fleet(1, endpoints) as fleet:
        costs = await idle_costs(fleet, 'entry')
        costs.pop('store_calls')
        return costs


async def sidecar_costs(entries: int) -> dict[str, float]:
    """Return the costs of an idle sidecar connected to `entries` entries."""
    async with running_fleet(entries, 1) as fleet:
        return await idle_costs(fleet, 'sidecar')


async def count_store_calls(fleet: ProcessFleet) -> int:
    """Return the number of calls that the key-value service received."""
    control = fleet.control('kv')
    _, counts = await control.request('GET', '/counts')
    await control.pool.aclose()
    assert isinstance(counts, dict)
    return sum(counts['calls'].values())
