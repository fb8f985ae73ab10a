"""Tests an engine that leaves, with operating-system processes."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from pathlib import Path

import anyio
import pytest

from quetzaldyke.commands.process_fleet import (
    ProcessFleet,
    engine_flags,
    start_fleet,
    start_process,
)
from quetzaldyke.commands.task_fleet import FleetPlan, PoolPlan
from quetzaldyke.standins.engine_options import EngineOptions
from quetzaldyke.standins.engine_text import answer_text

PLAN = FleetPlan(
    'leaving',
    ('a', 'b'),
    entries=2,
    pools=(PoolPlan('orders', 2, engine=EngineOptions(step_ms=10.0)),),
    organisations={'depot': 'depot-key'},
)
TOKENS = 8
LIMIT_S = 40.0
# A health check makes the word known to the sidecar, and its report to entries.
KNOWN_AFTER_S = 2.0


@pytest.fixture(autouse=True)
def import_path(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make the processes import the package from this source tree."""
    source = Path(__file__).parent.parent / 'src'
    monkeypatch.setenv('PYTHONPATH', str(source))


@asynccontextmanager
async def running_fleet() -> AsyncIterator[tuple[ProcessFleet, str]]:
    """Run a fleet; provide it and the name of one of its engines."""
    async with AsyncExitStack() as stack:
        fleet = await start_fleet(stack, PLAN)
        with anyio.fail_after(LIMIT_S):
            yield fleet, fleet.with_role('engine')[0].name


async def set_faults(fleet: ProcessFleet, name: str, **faults: bool) -> None:
    """Set fault switches of an engine."""
    control = fleet.control(name)
    status, _ = await control.request('PUT', '/faults', faults)
    assert status == 200
    await control.pool.aclose()


async def restart_engine(fleet: ProcessFleet, name: str) -> None:
    """Kill an engine and start another at its address."""
    member = fleet.members[name]
    member.process.kill()
    await member.process.wait()
    flags = {'address': member.address, **engine_flags(PLAN.pools[0], 0)}
    command = ['standin', 'engine']
    await start_process(
        fleet, name, member.role, member.address, command, flags
    )
    host, _, port = member.address.rpartition(':')
    while True:
        with suppress(OSError):
            await (await anyio.connect_tcp(host, int(port))).aclose()
            return
        await anyio.sleep(0.02)


async def requests_of(fleet: ProcessFleet, name: str) -> int:
    """Return how many requests an engine has accepted."""
    control = fleet.control(name)
    _, counts = await control.request('GET', '/counts')
    await control.pool.aclose()
    assert isinstance(counts, dict)
    found: int = counts['requests']
    return found


async def chat(fleet: ProcessFleet, prompt: str, entry: int) -> None:
    """Request one answer and check that it is whole."""
    caller = fleet.caller('depot', entry)
    outcome = await caller.chat('orders', prompt, TOKENS)
    await caller.pool.aclose()
    assert outcome.error == ''
    assert outcome.text == answer_text(prompt, TOKENS)


def test_leaving_engine_gets_no_work_until_its_next_lifetime() -> None:
    """Guards against requests to an engine after its word, from any entry."""

    async def scenario() -> None:
        async with running_fleet() as (fleet, name):
            await set_faults(fleet, name, leaving=True)
            await anyio.sleep(KNOWN_AFTER_S)
            before = await requests_of(fleet, name)
            async with anyio.create_task_group() as group:
                for number in range(20):
                    group.start_soon(chat, fleet, f'p{number}', number % 2)
            assert await requests_of(fleet, name) == before
            await restart_engine(fleet, name)
            number = 0
            while not await requests_of(fleet, name):
                await chat(fleet, f'next {number}', number % 2)
                number += 1

    anyio.run(scenario)
