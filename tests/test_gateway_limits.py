"""End-to-end tests of endpoints that name how many requests they take."""

from __future__ import annotations

import base64
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import anyio
import orjson

from fleet_load import start_callers
from gateway_fleet import GatewayFleet

ENTRIES = 3
LIMITED = 'i-lm0'
# Requests per second that the limited endpoint names.
LIMIT = 1.0
# The users' rule: from this long after the first naming, a limited endpoint
# gets at most 1.5 times what the limit allows, and 5 requests, in each window.
GRACE_S = 3.0
WINDOW_S = 4.0
ALLOWED = 1.5 * LIMIT * WINDOW_S + 5
LOAD_S = 10.0
# Pause of each caller between two requests.
PAUSE_S = 0.05
CALLERS_PER_ENTRY = 2
JOB_ITEMS = 12
Scenario = Callable[[GatewayFleet], Awaitable[None]]


def run_fleet(tmp_path: Path, scenario: Scenario) -> None:
    """Run a scenario against three entries and two engines."""

    async def run() -> None:
        async with AsyncExitStack() as stack:
            fleet = GatewayFleet(tmp_path, stack)
            await fleet.start(ENTRIES, engines=2, services=0, events=10)
            await scenario(fleet)

    anyio.run(run)


async def get_runs(fleet: GatewayFleet, name: str) -> list[dict[str, Any]]:
    """Return the runs of an endpoint so far."""
    _, body = await fleet.call(fleet.endpoints[name], 'GET', '/runs')
    runs: list[dict[str, Any]] = orjson.loads(body)['runs']
    return runs


def most_in_a_window(times_s: list[float], start_s: float) -> int:
    """Return the most requests in any window that begins after `start_s`."""
    later = sorted(at_s for at_s in times_s if at_s >= start_s)
    return max(
        (
            sum(first_s <= at_s < first_s + WINDOW_S for at_s in later)
            for first_s in later
        ),
        default=0,
    )


async def submit_job(fleet: GatewayFleet, entry: str, job_id: str) -> None:
    """Submit a job of several items."""
    items = [
        {
            'id': f'{job_id}-{number}',
            'path': f'/jobs/{job_id}/{number}',
            'headers': {},
            'body': base64.b64encode(b'x').decode(),
            'tokens': 10,
        }
        for number in range(JOB_ITEMS)
    ]
    status, _ = await fleet.call(
        fleet.ports[entry].front,
        'POST',
        f'/jobs/{job_id}',
        {'items': items},
        {'Attempt-Id': job_id},
    )
    assert status == 202


async def keep_loaded(
    fleet: GatewayFleet, seconds: float, statuses: list[int]
) -> None:
    """Send online requests to all entries, and some jobs, for some seconds."""
    async with anyio.create_task_group() as group:
        start_callers(
            fleet,
            group,
            statuses,
            CALLERS_PER_ENTRY,
            PAUSE_S,
            with_body=True,
        )
        for number in range(int(seconds)):
            entry = list(fleet.ports)[number % len(fleet.ports)]
            await submit_job(fleet, entry, f'job-{number}')
            await anyio.sleep(1.0)
        group.cancel_scope.cancel()


# Guards against entries that together send an endpoint in need more requests
# than the limit that it names, because none reads it or each obeys alone.
def test_limited_endpoint_gets_no_more_than_it_names(tmp_path: Path) -> None:
    """Guards against an endpoint in need that gets requests as before."""

    async def scenario(fleet: GatewayFleet) -> None:
        statuses: list[int] = []
        await fleet.set_faults(fleet.endpoints[LIMITED], limit=str(LIMIT))
        await keep_loaded(fleet, LOAD_S, statuses)
        times_s = [run['at'] for run in await get_runs(fleet, LIMITED)]
        assert most_in_a_window(times_s, times_s[0] + GRACE_S) <= ALLOWED
        assert statuses.count(200) >= 0.95 * len(statuses)

    run_fleet(tmp_path, scenario)
