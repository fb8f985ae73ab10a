"""End-to-end tests of endpoints that state in their answers that they drain."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path

import anyio
import orjson

from fleet_load import start_callers
from gateway_fleet import GatewayFleet

LEAVING = 'i-lm0'
# The users' bound on requests that are sent after such an answer.
DRAIN_S = 2.0
LOAD_S = 6.0
CALLERS_PER_ENTRY = 2
PAUSE_S = 0.02
Scenario = Callable[[GatewayFleet], Awaitable[None]]


def run_fleet(tmp_path: Path, scenario: Scenario) -> None:
    """Run a scenario against three entries and two engines."""

    async def run() -> None:
        async with AsyncExitStack() as stack:
            fleet = GatewayFleet(tmp_path, stack)
            await fleet.start(3, engines=2, services=0, events=5)
            await scenario(fleet)

    anyio.run(run)


async def run_times_s(fleet: GatewayFleet) -> list[float]:
    """Return when the leaving endpoint began its runs."""
    _, body = await fleet.call(fleet.endpoints[LEAVING], 'GET', '/runs')
    return [run['at'] for run in orjson.loads(body)['runs']]


async def keep_loaded(fleet: GatewayFleet, statuses: list[int]) -> None:
    """Send requests to all entries for some seconds."""
    async with anyio.create_task_group() as group:
        start_callers(fleet, group, statuses, CALLERS_PER_ENTRY, PAUSE_S)
        await anyio.sleep(LOAD_S)
        group.cancel_scope.cancel()


# Guards against entries that send to an endpoint that is leaving, because they
# only learn of it from a store that is away.
def test_draining_endpoint_gets_no_requests_in_an_outage(
    tmp_path: Path,
) -> None:
    """Guards against requests that the endpoint can't serve any more."""

    async def scenario(fleet: GatewayFleet) -> None:
        statuses: list[int] = []
        await fleet.set_faults(fleet.store_port, refuse=True)
        await fleet.set_faults(fleet.endpoints[LEAVING], leaving=True)
        await keep_loaded(fleet, statuses)
        times_s = await run_times_s(fleet)
        # The answer to the first run states it; an entry may have sent some
        # requests before it heard of it.
        assert times_s
        assert max(times_s) < times_s[0] + DRAIN_S
        assert len(times_s) <= 2 * len(fleet.ports) * CALLERS_PER_ENTRY
        assert statuses.count(200) == len(statuses) > 50

    run_fleet(tmp_path, scenario)


# Guards against an entry that starts while the store and the answers that it
# has seen say nothing, although its peers know.
def test_restarted_entry_hears_from_its_peers(tmp_path: Path) -> None:
    """Guards against statements that end with the entry that heard them."""

    async def scenario(fleet: GatewayFleet) -> None:
        statuses: list[int] = []
        await fleet.set_faults(fleet.endpoints[LEAVING], leaving=True)
        await keep_loaded(fleet, statuses)
        before = len(await run_times_s(fleet))
        entry = fleet.processes['entry-0']
        await entry.kill()
        await entry.start()
        ready = fleet.ports['entry-0'].ready
        await fleet.wait_until_up(ready, '/', expected_status=200)
        await anyio.sleep(3.0)
        await keep_loaded(fleet, statuses)
        assert len(await run_times_s(fleet)) == before

    run_fleet(tmp_path, scenario)
