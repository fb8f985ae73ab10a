"""Tests the daemons as operating-system processes."""

from __future__ import annotations

import signal
from contextlib import AsyncExitStack
from pathlib import Path

import anyio
import pytest

from quetzaldyke.commands.caller import ChatOutcome
from quetzaldyke.commands.process_fleet import ProcessFleet, start_fleet
from quetzaldyke.commands.task_fleet import FleetPlan, PoolPlan
from quetzaldyke.standins.engine_options import EngineOptions
from quetzaldyke.standins.engine_text import answer_text

PLAN = FleetPlan(
    'processes',
    ('a', 'b'),
    entries=2,
    pools=(PoolPlan('orders', 2, engine=EngineOptions(step_ms=10.0)),),
    organisations={'depot': 'depot-key'},
)
PROMPT = 'two slabs to Clifton before noon'
TOKENS = 120


@pytest.fixture(autouse=True)
def import_path(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make the processes import the package from this source tree."""
    source = Path(__file__).parent.parent / 'src'
    monkeypatch.setenv('PYTHONPATH', str(source))


async def busy_sidecar(fleet: ProcessFleet) -> str:
    """Wait for an engine that runs a stream and return its sidecar."""
    while True:
        for member in fleet.with_role('engine'):
            control = fleet.control(member.name)
            _, content = await control.request('GET', '/v1/requests')
            await control.pool.aclose()
            if isinstance(content, dict) and content['running']:
                return member.name.removeprefix('engine-')
        await anyio.sleep(0.02)


async def chat_while(sent: signal.Signals) -> tuple[ChatOutcome, int | None]:
    """Signal the sidecar that runs a request.

    Returns the outcome of the request and the exit status of the sidecar.
    """
    async with AsyncExitStack() as stack:
        fleet = await start_fleet(stack, PLAN)
        outcomes: list[ChatOutcome] = []

        async def chat() -> None:
            caller = fleet.caller('depot')
            outcomes.append(await caller.chat('orders', PROMPT, TOKENS))
            await caller.pool.aclose()

        async with anyio.create_task_group() as group:
            group.start_soon(chat)
            with anyio.fail_after(20):
                name = await busy_sidecar(fleet)
            process = fleet.members[name].process
            process.send_signal(sent)
        with anyio.fail_after(20):
            return outcomes[0], await process.wait()


@pytest.mark.parametrize(
    ('sent', 'status'),
    [(signal.SIGKILL, -signal.SIGKILL), (signal.SIGTERM, 0)],
)
def test_answer_is_whole_when_a_sidecar_goes(
    sent: signal.Signals,
    status: int,
) -> None:
    """Guards against a truncated answer when a sidecar is killed or stops."""
    outcome, returned = anyio.run(chat_while, sent)
    assert outcome.error == ''
    assert outcome.complete
    assert outcome.text == answer_text(PROMPT, TOKENS)
    assert returned == status


def test_daemons_start_no_process_and_shut_down_gracefully() -> None:
    """Guards against child processes and against a shutdown that hangs."""

    async def scenario() -> dict[str, tuple[str, int]]:
        async with AsyncExitStack() as stack:
            fleet = await start_fleet(stack, PLAN)
            found = {}
            for member in fleet.with_role('entry') + fleet.with_role('sidecar'):
                pid = member.process.pid
                listed = Path(f'/proc/{pid}/task/{pid}/children')
                children = listed.read_text() if listed.exists() else ''
                member.process.terminate()
                with anyio.fail_after(20):
                    found[member.name] = (
                        children,
                        await member.process.wait(),
                    )
        return found

    found = anyio.run(scenario)
    assert len(found) == 4
    assert set(found.values()) == {('', 0)}
