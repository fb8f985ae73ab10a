"""Benchmarks waiting for a configuration version against polling for it.

Run with `python -m quetzaldyke.commands.waiting`. Server and clients share
the process and talk over loopback, so the CPU time covers both ends.
"""

from __future__ import annotations

import json
import random
import statistics
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final

import anyio
import httpcore

from quetzaldyke.connection.http_server import HttpOptions, serve_http
from quetzaldyke.parts.hlc import HybridClock
from quetzaldyke.parts.memory_store import MemoryStore
from quetzaldyke.parts.timers import Clock
from quetzaldyke.process.fleet import Fleet, Instance
from quetzaldyke.process.logs import make_log_event
from quetzaldyke.process.metrics import Metrics
from quetzaldyke.process.operators_http import (
    OperatorsContext,
    make_operators_app,
)
from quetzaldyke.version.configuration import EMPTY, pack_document
from quetzaldyke.version.exchange import ConfigExchange
from quetzaldyke.version.holder import ConfigHolder
from quetzaldyke.version.rollout import RolloutMonitor

KEY: Final = 'waiting-probe-key'
ADOPT_DELAY_S: Final = 10.0
START_SPREAD_S: Final = 0.5
WAITER_COUNTS: Final = (1, 10, 100)
POLL_INTERVALS_S: Final = (1.0, 0.1)
MS_IN_S: Final = 1000
PERCENT: Final = 100


@dataclass(slots=True)
class EntryProbe:
    """State shared by the clients of one operators' listener."""

    holder: ConfigHolder
    address: str = ''
    calls: int = 0
    finished_s: list[float] = field(default_factory=list)


@dataclass(slots=True)
class Waiter:
    """A client with its own connection.

    With one connection pool for all clients, the pool itself accounted for
    most of the CPU time at 100 clients.
    """

    probe: EntryProbe
    pool: httpcore.AsyncConnectionPool

    async def get(self, path: str) -> dict[str, object]:
        """Send a GET request and return its JSON object."""
        self.probe.calls += 1
        response = await self.pool.request(
            'GET',
            f'http://{self.probe.address}{path}',
            headers={'authorization': f'Bearer {KEY}'},
        )
        document: dict[str, object] = json.loads(response.content)
        return document


def make_context(holder: ConfigHolder) -> OperatorsContext:
    """Return the operators' listener context of an entry without peers."""
    fleet = Fleet(Instance('probe', 'entry', 'a', ''), 1)
    exchange = ConfigExchange(holder, Clock(), random.random)
    rollout = RolloutMonitor(fleet, exchange, Clock())
    rollout.subscribe()

    async def no_text(name: str) -> str:
        return ''

    async def no_events(contains: str, limit: int) -> list[object]:
        return []

    return OperatorsContext(
        KEY,
        holder,
        MemoryStore(),
        fleet,
        Metrics(),
        rollout,
        make_log_event('probe', HybridClock('probe'))[0],
        str,
        no_events,  # type: ignore[arg-type]
        no_text,
    )


WaitMethod = Callable[[Waiter, int], Awaitable[None]]


async def wait_once(waiter: Waiter, version: int) -> None:
    """Wait for a version with one blocking request."""
    await waiter.get(f'/config/wait?version={version}&timeout_s=60')


def poll_every(interval_s: float) -> WaitMethod:
    """Return a wait method that polls at an interval."""

    async def poll(waiter: Waiter, version: int) -> None:
        while int(str((await waiter.get('/config'))['version'])) < version:
            await anyio.sleep(interval_s)

    return poll


async def measure(
    probe: EntryProbe,
    name: str,
    waiters: int,
    wait: WaitMethod,
) -> None:
    """Let clients wait for the next version and print CPU time and delays."""
    version = probe.holder.version + 1
    probe.calls = 0
    probe.finished_s = []

    async def client(number: int) -> None:
        # Spreads the starts, so that clients don't poll at the same moment.
        await anyio.sleep(START_SPREAD_S * number / waiters)
        async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
            await wait(Waiter(probe, pool), version)
        probe.finished_s.append(time.monotonic())

    cpu_s = time.process_time()
    async with anyio.create_task_group() as group:
        for number in range(waiters):
            group.start_soon(client, number)
        await anyio.sleep(ADOPT_DELAY_S)
        adopted_s = time.monotonic()
        probe.holder.adopt(version, pack_document(EMPTY))
    used_s = time.process_time() - cpu_s
    delays_ms = [(done - adopted_s) * MS_IN_S for done in probe.finished_s]
    print(
        f'{name:<14} waiters={waiters:<4} calls={probe.calls:<6} '
        f'cpu_ms={used_s * MS_IN_S:<8.0f} '
        f'core_percent={used_s / ADOPT_DELAY_S * PERCENT:<6.2f} '
        f'delay_ms median={statistics.median(delays_ms):<8.1f} '
        f'max={max(delays_ms):.1f}',
    )


async def run_all() -> None:
    """Measure each wait method with each number of clients."""
    holder = ConfigHolder()
    probe = EntryProbe(holder)
    async with anyio.create_task_group() as group:
        app = make_operators_app(make_context(holder))
        options = HttpOptions('127.0.0.1:0', 1)
        server = await group.start(serve_http, app, options, anyio.Event())
        probe.address = server.address
        for waiters in WAITER_COUNTS:
            await measure(probe, 'wait', waiters, wait_once)
            for interval_s in POLL_INTERVALS_S:
                name = f'poll {interval_s} s'
                await measure(probe, name, waiters, poll_every(interval_s))
        group.cancel_scope.cancel()


if __name__ == '__main__':
    anyio.run(run_all, backend_options={'use_uvloop': True})
