"""Load on fleets of real processes, shared by tests."""

from __future__ import annotations

import anyio
from anyio.abc import TaskGroup

from gateway_fleet import GatewayFleet


async def call_repeatedly(
    fleet: GatewayFleet,
    entry: str,
    caller: int,
    statuses: list[int],
    pause_s: float,
    with_body: bool,
) -> None:
    """Send streams to an entry one after the other, until cancelled."""
    number = 0
    while True:
        number += 1
        request_id = f'{entry}-{caller}-{number}'
        status, _ = await fleet.call(
            fleet.ports[entry].front,
            'POST',
            f'/again/{request_id}',
            request_id if with_body else None,
            {'Attempt-Id': request_id, 'Deadline-Ms': '3000'},
        )
        statuses.append(status)
        await anyio.sleep(pause_s)


def start_callers(
    fleet: GatewayFleet,
    group: TaskGroup,
    statuses: list[int],
    callers_per_entry: int,
    pause_s: float,
    *,
    with_body: bool = False,
) -> None:
    """Start callers at each entry, which append their statuses."""
    for entry in fleet.ports:
        for caller in range(callers_per_entry):
            group.start_soon(
                call_repeatedly,
                fleet,
                entry,
                caller,
                statuses,
                pause_s,
                with_body,
            )
