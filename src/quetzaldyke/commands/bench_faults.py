"""Fault scenarios that the benchmark injects under load."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Mapping
from types import MappingProxyType
from typing import Any, Final

import anyio

from quetzaldyke.commands.bench_modes import ONLINE_POOL, ORGANISATION
from quetzaldyke.commands.process_fleet import ProcessFleet

FaultScenario = Callable[[ProcessFleet, float], Coroutine[Any, Any, None]]

THIRD_OF_WINDOW: Final = 1 / 3
SLOW_FACTOR: Final = 4.0
CRASH_TOKENS: Final = 8


async def set_fault(
    fleet: ProcessFleet,
    name: str,
    **switches: object,
) -> None:
    """Set fault switches of a stand-in."""
    control = fleet.control(name)
    await control.request('PUT', '/faults', switches)
    await control.pool.aclose()


async def endpoint_killed(fleet: ProcessFleet, window_s: float) -> None:
    """Kill an engine and its sidecar after a third of the window."""
    await anyio.sleep(window_s * THIRD_OF_WINDOW)
    for name in (f'engine-{ONLINE_POOL}-0', f'{ONLINE_POOL}-0'):
        fleet.members[name].process.kill()


async def endpoint_slow(fleet: ProcessFleet, window_s: float) -> None:
    """Slow an engine down in the middle third of the window."""
    name = f'engine-{ONLINE_POOL}-1'
    await anyio.sleep(window_s * THIRD_OF_WINDOW)
    await set_fault(fleet, name, slow_factor=SLOW_FACTOR)
    await anyio.sleep(window_s * THIRD_OF_WINDOW)
    await set_fault(fleet, name, slow_factor=1.0)


async def list_stale(fleet: ProcessFleet, window_s: float) -> None:
    """Freeze the instance list, then shut a sidecar down gracefully."""
    await set_fault(fleet, 'instances', frozen=True)
    await anyio.sleep(window_s * THIRD_OF_WINDOW)
    fleet.members[f'{ONLINE_POOL}-2'].process.terminate()


async def store_down(fleet: ProcessFleet, window_s: float) -> None:
    """Drop all key-value calls in the middle third of the window."""
    await anyio.sleep(window_s * THIRD_OF_WINDOW)
    await set_fault(fleet, 'kv', drop_ratio=1.0)
    await anyio.sleep(window_s * THIRD_OF_WINDOW)
    await set_fault(fleet, 'kv', drop_ratio=0.0)


async def crashing_request(fleet: ProcessFleet, window_s: float) -> None:
    """Repeatedly send a request that crashes its endpoint."""
    await anyio.sleep(window_s * THIRD_OF_WINDOW)
    for number in range(6):
        caller = fleet.caller(ORGANISATION, number)
        await caller.chat(ONLINE_POOL, 'CRASH now', CRASH_TOKENS)
        await caller.pool.aclose()


async def domain_lost(fleet: ProcessFleet, window_s: float) -> None:
    """Kill the endpoints and sidecars of one failure domain."""
    await anyio.sleep(window_s * THIRD_OF_WINDOW)
    for member in fleet.members.values():
        if member.failure_domain == 'a':
            member.process.kill()


FAULT_SCENARIOS: Final[Mapping[str, FaultScenario | None]] = MappingProxyType(
    {
        'none': None,
        'endpoint_killed': endpoint_killed,
        'endpoint_slow': endpoint_slow,
        'list_stale': list_stale,
        'store_down': store_down,
        'crashing_request': crashing_request,
        'domain_lost': domain_lost,
    }
)
