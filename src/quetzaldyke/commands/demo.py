"""Demonstrates every kind of work on two deployments in one process.

Online requests, a batch job, a current and a stale configuration patch, a
booking that is sent twice and the graceful shutdown of a sidecar run through
the same code as the daemons, over real sockets.
"""

from __future__ import annotations

import sys
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, Final

import anyio

from quetzaldyke.commands.caller import (
    Caller,
    expect_ok,
    item_line,
    job_results,
    new_key,
    submit_job,
)
from quetzaldyke.commands.deployments import DEPLOYMENTS, load_deployment
from quetzaldyke.commands.task_fleet import (
    TaskFleet,
    start_fleet,
    stop_fleet,
    wait_until,
)
from quetzaldyke.standins.engine_text import answer_text
from quetzaldyke.standins.service import ServiceStandin

ONLINE_REQUESTS: Final = 24
ITEMS: Final = 60
TOKENS: Final = 12
TIMEOUT_S: Final = 28.0
CONFLICT_STATUS: Final = 409
CREATED_STATUS: Final = 201
POLL_INTERVAL_S: Final = 0.1


@dataclass(slots=True)
class Totals:
    """Counts of accepted work and of its outcomes."""

    accepted: int = 0
    answered: int = 0
    duplicated: int = 0
    lost: int = 0
    refused: int = 0
    config_version: int = 0
    notes: list[str] = field(default_factory=list)

    def summary(self) -> str:
        """Return the totals as key=value pairs."""
        return (
            f'accepted={self.accepted} answered={self.answered} '
            f'duplicated={self.duplicated} lost={self.lost} '
            f'refused={self.refused} config_version={self.config_version}'
        )


async def run_online(fleet: TaskFleet, totals: Totals, count: int) -> None:
    """Send concurrent online requests through all entries and check them."""
    organisation = next(iter(fleet.plan.organisations))
    model = fleet.plan.pools[0].name

    async def send_request(number: int) -> None:
        prompt = f'message {number} of {fleet.plan.name} to the order desk'
        caller = fleet.caller(organisation, number)
        outcome = await caller.chat(model, prompt, TOKENS)
        await caller.pool.aclose()
        totals.accepted += 1
        if outcome.complete and outcome.text == answer_text(prompt, TOKENS):
            totals.answered += 1
        else:
            totals.lost += 1
            totals.notes.append(f'online {number}: {outcome.error!r}')

    async with anyio.create_task_group() as group:
        for number in range(count):
            group.start_soon(send_request, number)


async def run_job(fleet: TaskFleet, totals: Totals) -> None:
    """Submit a job twice and check that each item has one result."""
    organisation = next(iter(fleet.plan.organisations))
    model = fleet.plan.pools[0].name
    lines = [
        item_line(number, model, f'plan {number} of {fleet.plan.name}', TOKENS)
        for number in range(ITEMS)
    ]
    caller = fleet.caller(organisation)
    key = new_key()
    job = await submit_job(caller, lines, key)
    again = await submit_job(fleet.caller(organisation, 1), lines, key)
    totals.accepted += ITEMS
    if again['id'] != job['id']:
        totals.duplicated += ITEMS
    await wait_for_job(caller, job['id'])
    await count_results(caller, job['id'], totals)


async def wait_for_job(caller: Caller, job_id: str) -> dict[str, Any]:
    """Poll a job until it ends and return it."""
    while True:
        job = expect_ok(await caller.request('GET', f'/v1/batches/{job_id}'))
        if job['status'] in {'completed', 'failed', 'cancelled'}:
            return job
        await anyio.sleep(POLL_INTERVAL_S)


async def count_results(caller: Caller, job_id: str, totals: Totals) -> None:
    """Count answered, lost and duplicated items of a job."""
    rows = await job_results(caller, job_id)
    counts = Counter(row['custom_id'] for row in rows)
    totals.answered += len(counts)
    totals.lost += ITEMS - len(counts)
    totals.duplicated += sum(count - 1 for count in counts.values())


async def run_patches(fleet: TaskFleet, totals: Totals) -> None:
    """Submit a current and a stale patch; wait until all entries are updated.

    Only the current patch may be accepted.
    """
    operator = fleet.operator()
    current = expect_ok(await operator.request('GET', '/config'))
    version = current['version']
    patch = [{'op': 'add', 'path': '/max_item_tries', 'value': 4}]
    body = {'base_version': version, 'patch_id': 'demo-1', 'patch': patch}
    accepted = expect_ok(
        await operator.request('POST', '/config/patches', body),
    )
    stale = {'base_version': version, 'patch_id': 'demo-2', 'patch': patch}
    status, _ = await operator.request('POST', '/config/patches', stale)
    if status == CONFLICT_STATUS:
        totals.refused += 1
    else:
        totals.notes.append(f'stale patch returned status {status}')
    totals.config_version = accepted['version']
    await wait_until(
        lambda: all(
            entry.config.version >= totals.config_version
            for entry in fleet.entries.values()
        ),
    )


async def run_booking(fleet: TaskFleet, totals: Totals) -> None:
    """Send one booking through two entries with the same idempotency key.

    It must run once: no execution counts as lost in the totals, and each
    further one as a duplicate. Any status but 201 is noted there.
    """
    organisation = next(iter(fleet.plan.organisations))
    pool = fleet.plan.pools[1].name
    booking = f'{fleet.plan.name}-booking'
    key = new_key()
    for number in range(2):
        status, _ = await fleet.caller(organisation, number).request(
            'POST',
            f'/services/{pool}/bookings',
            {'id': booking},
            {'idempotency-key': key},
        )
        if status != CREATED_STATUS:
            totals.notes.append(f'booking {number} returned status {status}')
    runs = sum(
        endpoint.standin.executions[booking]
        for endpoint in fleet.endpoints.values()
        if isinstance(endpoint.standin, ServiceStandin)
    )
    totals.accepted += 1
    totals.answered += min(runs, 1)
    totals.lost += runs == 0
    totals.duplicated += max(0, runs - 1)


async def run_planned_stop(fleet: TaskFleet, totals: Totals) -> None:
    """Stop one sidecar while requests run; all must still complete."""
    stopped_endpoint = next(iter(fleet.endpoints.values()))
    async with anyio.create_task_group() as group:
        group.start_soon(run_online, fleet, totals, ONLINE_REQUESTS)
        await anyio.sleep(POLL_INTERVAL_S)
        stopped_endpoint.sidecar.stopping.set()


async def run_deployment(name: str, totals: Totals) -> None:
    """Run every kind of work on one deployment."""
    async with anyio.create_task_group() as group:
        fleet = await start_fleet(group, load_deployment(name))
        await run_online(fleet, totals, ONLINE_REQUESTS)
        await run_job(fleet, totals)
        await run_patches(fleet, totals)
        await run_booking(fleet, totals)
        await run_planned_stop(fleet, totals)
        print(f'deployment={name} {totals.summary()}', flush=True)
        await stop_fleet(fleet)
        group.cancel_scope.cancel()


async def run_demo() -> Totals:
    """Run the deployments in sequence; raise TimeoutError at the limit."""
    totals = Totals()
    with anyio.fail_after(TIMEOUT_S):
        for name in DEPLOYMENTS:
            await run_deployment(name, totals)
    return totals


def demo() -> None:
    """Run the demo and print the totals; exit with 1 on any failure."""
    totals = anyio.run(run_demo, backend_options={'use_uvloop': True})
    for note in totals.notes:
        print(f'note={note!r}')
    print(totals.summary())
    if totals.notes or totals.lost or totals.duplicated:
        sys.exit(1)
