"""Tests of keys in a fleet of real processes, through a loss of the store."""

from __future__ import annotations

from pathlib import Path
from typing import Final

import anyio
import orjson

from gateway_fleet import GatewayFleet, configuration
from test_gateway_processes import run_with_fleet

JOB_ID: Final = 'j'
JOB: Final = {
    'items': [{'id': 'j-0', 'path': '/jobs/x', 'body': 'aGk=', 'tokens': 5}]
}
READ: Final = f'/quetzaldyke/lots/{JOB_ID}'


async def write_keys(fleet: GatewayFleet, **keys: list[str]) -> None:
    """Write a version in which organisations hold some keys."""
    fleet.version += 1
    tenants = [{'name': name, 'api-keys': held} for name, held in keys.items()]
    record = configuration(fleet.version, 4_000) | {'tenants': tenants}
    await fleet.put('op/config', record)


async def status_of(
    fleet: GatewayFleet, entry: str, path: str, key: str, body: object = None
) -> int:
    """Return the status of a request with a key; 0 without an answer."""
    status, _ = await fleet.call(
        fleet.ports[entry].front,
        'GET' if path == READ else 'POST',
        path,
        body,
        {'Attempt-Id': JOB_ID, 'Authorization': f'Bearer {key}'},
        timeout_s=6.0,
    )
    return status


async def wait_for_status(
    fleet: GatewayFleet, entry: str, path: str, key: str, status: int
) -> None:
    """Wait until requests with a key are answered with a status."""
    with anyio.fail_after(20):
        while await status_of(fleet, entry, path, key) != status:
            await anyio.sleep(0.05)


def test_keys_change_and_their_jobs_stay(tmp_path: Path) -> None:
    """Guards against entries that do not follow the keys of a version.

    The entry that accepted the job is killed and starts again while the store
    is away: it then knows no key, and says so.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        await write_keys(fleet, depot=['old'], hotel=['other'])
        for entry in fleet.ports:
            await wait_for_status(fleet, entry, '/look/x', 'none', 401)
            assert await status_of(fleet, entry, '/look/x', 'old') == 200
        assert await status_of(fleet, 'entry-0', '/jobs/x', 'old', JOB) == 202
        await write_keys(fleet, depot=['new'], hotel=['other'])
        for entry in fleet.ports:
            await wait_for_status(fleet, entry, '/look/x', 'old', 401)
            assert await status_of(fleet, entry, READ, 'new') == 200
            assert await status_of(fleet, entry, READ, 'other') == 404
        await fleet.set_faults(fleet.store_port, refuse=True)
        process = fleet.processes['entry-0']
        await process.kill()
        await process.start()
        await wait_for_status(fleet, 'entry-0', '/look/x', 'new', 503)
        assert await status_of(fleet, 'entry-0', '/look/x', 'none') == 503
        # The other entry can't know of newer keys, but serves those it has.
        await wait_for_status(fleet, 'entry-1', '/look/x', 'none', 503)
        assert await status_of(fleet, 'entry-1', '/look/x', 'new') == 200
        await fleet.set_faults(fleet.store_port, refuse=False)
        await wait_for_status(fleet, 'entry-0', '/look/x', 'new', 200)
        await wait_for_status(fleet, 'entry-0', READ, 'new', 200)
        assert await status_of(fleet, 'entry-0', '/look/x', 'old') == 401
        logs = [path.read_bytes() for path in tmp_path.glob('entry-*.log')]
        assert any(b'event=request_unauthorized' in log for log in logs)
        assert not any(b'Bearer' in log for log in logs)
        page = await fleet.call(
            fleet.ports['entry-1'].front,
            'GET',
            READ,
            None,
            {'Authorization': 'Bearer new'},
        )
        assert orjson.loads(page[1])['total'] == 1

    run_with_fleet(tmp_path, scenario)
