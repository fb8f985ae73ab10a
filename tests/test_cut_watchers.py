"""Tests with real processes of entries whose watchers lose the store."""

from __future__ import annotations

import time
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Final

import anyio
import orjson

from gateway_fleet import GatewayFleet

ENTRIES: Final = 4
# A result that was read at one entry is shown by all others after this.
SETTLE_S: Final = 1.0
CUT_S: Final = 4.0
HEAL_S: Final = 3.0
ROUNDS: Final = 3


def followed_entries(fleet: GatewayFleet, folder: Path) -> set[str]:
    """Return the entries that send their updates to others."""
    followed = set()
    for name in fleet.ports:
        roles = [
            line
            for line in (folder / f'{name}.log').read_text().splitlines()
            if 'event=watch_roles' in line
        ]
        if roles and ' followers=0' not in roles[-1]:
            followed.add(name)
    return followed


async def submit(fleet: GatewayFleet, entry: str, job_id: str) -> None:
    """Submit a job of three items."""
    items = [
        {
            'id': f'{job_id}-{number}',
            'path': '/jobs/x',
            'body': 'aGk=',
            'tokens': 5,
        }
        for number in range(3)
    ]
    status, _ = await fleet.call(
        fleet.ports[entry].front,
        'POST',
        '/jobs/x',
        {'items': items},
        {'Attempt-Id': job_id},
    )
    assert status == 202


async def read(fleet: GatewayFleet, entry: str, job_id: str) -> tuple[int, int]:
    """Return the status of a read and the number of its results."""
    status, page = await fleet.call(
        fleet.ports[entry].front, 'GET', f'/quetzaldyke/lots/{job_id}?after=0'
    )
    return status, len(orjson.loads(page)['results']) if status == 200 else 0


async def find_missing(
    fleet: GatewayFleet, owner: str, other: str, job_id: str
) -> list[str]:
    """Return the answers of an entry that lack what was read at the owner.

    The entry must show it before the watchers reach the store again.
    """
    began_s = time.monotonic()
    first_s = 0.0
    shown = False
    missing: list[str] = []
    while time.monotonic() < began_s + CUT_S:
        if not first_s and (await read(fleet, owner, job_id))[1]:
            first_s = time.monotonic()
        sent_s = time.monotonic()
        status, found = await read(fleet, other, job_id)
        shown = shown or found > 0
        late = first_s and sent_s > first_s + SETTLE_S
        if late and (status == 404 or (status == 200 and not found)):
            missing.append(f'{sent_s - first_s:.2f} s: {status}')
        await anyio.sleep(0.05)
    assert first_s, 'no result was read'
    assert shown, f'{other} did not show it'
    return missing


def test_result_is_shown_by_all_entries_while_both_watchers_are_cut_off(
    tmp_path: Path,
) -> None:
    """Guards against results that are read and then missing elsewhere.

    The entries that watch the store for the others get no answers from it,
    and go on sending load reports.
    """

    async def run() -> None:
        async with AsyncExitStack() as stack:
            fleet = GatewayFleet(tmp_path, stack)
            await fleet.start(ENTRIES, engines=2, services=0)
            await anyio.sleep(HEAL_S)
            watchers = followed_entries(fleet, tmp_path)
            owner, other = sorted(fleet.ports.keys() - watchers)
            for turn in range(ROUNDS):
                for name in watchers:
                    fleet.store_proxies[name].impairment = 'silent'
                await submit(fleet, owner, f'j{turn}')
                missing = await find_missing(fleet, owner, other, f'j{turn}')
                assert not missing, missing
                for name in watchers:
                    fleet.store_proxies[name].impairment = ''
                await anyio.sleep(HEAL_S)

    anyio.run(run)
