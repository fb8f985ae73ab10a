"""Runs the keeper process of an instance with a disk.

Nothing is stored on local disks, so an instance that the operator wants to
retire holds no data to move. The keeper reports it as emptied on request.
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
from quetzaldyke.platform.retire import EMPTIED_STATUS
from quetzaldyke.platform.store import PlatformStore

WATCH_WAIT_S: Final = 20.0
RETRY_DELAY_S: Final = 0.3


async def run_keeper(installation: Installation) -> None:
    """Answer the request to empty this instance; return at shutdown."""
    clock = Clock()
    health = StoreHealth()
    health.on_lost.append(lambda: log_store_event('dependency_lost'))
    health.on_regained.append(lambda: log_store_event('dependency_regained'))
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
    requested = anyio.Event()

    def on_snapshot(snapshot: Snapshot) -> None:
        if any(record.key == own_key for record in snapshot.records):
            requested.set()

    def on_changes(changes: list[WatchedChange], revision: int) -> None:
        if any(change.key == own_key for change in changes):
            requested.set()

    async def report_emptied() -> None:
        await requested.wait()
        transaction = Transaction({}, (Put(status_key, EMPTIED_STATUS),))
        while isinstance(await store.transact(transaction), Err):
            await anyio.sleep(RETRY_DELAY_S)
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
        group.start_soon(report_emptied)
        await wait_for_stop()
        group.cancel_scope.cancel()
    log_event('keeper_stopped')


def log_store_event(event: str) -> None:
    """Log an event about the connection to the store."""
    log_event(event, dependency='store')


async def wait_for_stop() -> None:
    """Wait for SIGTERM or SIGINT; ignore SIGHUP."""
    with anyio.open_signal_receiver(
        signal.SIGTERM,
        signal.SIGINT,
        signal.SIGHUP,
    ) as signals:
        async for received in signals:
            if received != signal.SIGHUP:
                return
