"""The keeper process on instances with a disk.

The project keeps nothing on local disks, so an instance that is to be
emptied is empty already. The keeper says so when the operator asks.
"""

from __future__ import annotations

import signal
from typing import Final

import anyio
from result import Err

from quetzaldyke.gateway.http_client import (
    HttpClient,
)
from quetzaldyke.gateway.logs import log_event
from quetzaldyke.gateway.model import Installation
from quetzaldyke.gateway.store_health import StoreHealth
from quetzaldyke.gateway.watch import PrefixWatcher
from quetzaldyke.parts.timers import Clock
from quetzaldyke.parts.transactions import (
    Put,
    Snapshot,
    Transaction,
    WatchedChange,
)
from quetzaldyke.platform import names
from quetzaldyke.platform.retire import EMPTIED
from quetzaldyke.platform.store import PlatformStore

WATCH_WAIT_S: Final = 20.0
RETRY_PAUSE_S: Final = 0.3


async def run_keeper(installation: Installation) -> None:
    """Answer requests to empty this instance until the planned stop."""
    clock = Clock()
    health = StoreHealth()
    health.on_lost.append(lambda: log_dependency('dependency_lost'))
    health.on_regained.append(lambda: log_dependency('dependency_regained'))
    store = PlatformStore.from_address(
        installation.store_address,
        HttpClient(),
        lambda call, answered: health.note(
            answered=answered,
            now_s=clock.now(),
        ),
    )
    own_key = f'{names.RETIRE_PREFIX}{installation.instance}'
    status_key = f'{names.RETIRE_STATUS_PREFIX}{installation.instance}'
    asked = anyio.Event()

    def on_snapshot(snapshot: Snapshot) -> None:
        if any(record.key == own_key for record in snapshot.records):
            asked.set()

    def on_changes(changes: list[WatchedChange], revision: int) -> None:
        if any(change.key == own_key for change in changes):
            asked.set()

    async def answer() -> None:
        await asked.wait()
        write = Transaction({}, (Put(status_key, EMPTIED),))
        while isinstance(await store.transact(write), Err):
            await anyio.sleep(RETRY_PAUSE_S)
        log_event('instance_emptied', instance=installation.instance)

    watcher = PrefixWatcher(
        store,
        names.RETIRE_PREFIX,
        on_snapshot,
        on_changes,
        WATCH_WAIT_S,
    )
    log_event('keeper_started', instance=installation.instance)
    async with anyio.create_task_group() as group:
        group.start_soon(watcher.run)
        group.start_soon(answer)
        await wait_for_stop()
        group.cancel_scope.cancel()
    log_event('keeper_stopped')


def log_dependency(event: str) -> None:
    """Log that the store was lost or regained."""
    log_event(event, dependency='store')


async def wait_for_stop() -> None:
    """Return when a planned stop is asked for."""
    with anyio.open_signal_receiver(
        signal.SIGTERM,
        signal.SIGINT,
        signal.SIGHUP,
    ) as signals:
        async for number in signals:
            if number != signal.SIGHUP:
                return
