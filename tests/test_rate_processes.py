"""Real processes that share an organisation's rate."""

from __future__ import annotations

from contextlib import AsyncExitStack
from pathlib import Path
from typing import Final

import anyio

from gateway_fleet import GatewayFleet, configuration

RATE: Final = 0.5
BURST: Final = 6


def test_entries_share_one_rate(tmp_path: Path) -> None:
    """Guards against entries that each admit the whole rate.

    A burst at one entry gets all that fits, and the other one has nothing
    left. Another organisation is not affected.
    """

    async def run() -> None:
        async with AsyncExitStack() as stack:
            fleet = GatewayFleet(tmp_path, stack)
            await fleet.start(2, engines=1, services=1, events=2)
            fleet.version += 1
            document = configuration(fleet.version, 4000)
            document['tenants'] = [
                {
                    'name': 'large',
                    'api-keys': ['key-1'],
                    'rate-per-s': RATE,
                    'burst': BURST,
                },
                {'name': 'other', 'api-keys': ['key-2']},
            ]
            await fleet.put('op/config', document)
            # The entries gain the burst while they delegate their shares.
            await anyio.sleep(BURST / RATE + 3)

            async def ask(entry: str, number: int, key: str) -> int:
                status, _ = await fleet.call(
                    fleet.ports[entry].front,
                    'POST',
                    '/book/x',
                    None,
                    {
                        'Attempt-Id': f'{entry}-{key}-{number}',
                        'Authorization': f'Bearer {key}',
                    },
                    timeout_s=6.0,
                )
                return status

            first = [await ask('entry-0', one, 'key-1') for one in range(15)]
            second = [await ask('entry-1', one, 'key-1') for one in range(5)]
            other = [await ask('entry-1', one, 'key-2') for one in range(5)]
            assert first[:BURST] == [200] * BURST
            assert 429 in first
            assert second[0] == 429
            assert other == [200] * 5

    anyio.run(run)
