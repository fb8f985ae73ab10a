"""Watches a key prefix of the store: a snapshot, then all later changes."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import anyio
from result import Err

from quetzaldyke.gateway.logs import log_event
from quetzaldyke.parts.backoff import BackoffOptions, backoff_s
from quetzaldyke.parts.transactions import (
    Snapshot,
    TransactionalStore,
    WatchedChange,
)

# Longest wait of one watch call. A dead connection is detected after this plus
# the slack of the call's timeout.
WATCH_WAIT_S: Final = 2.0
RETRY: Final = BackoffOptions(base_s=0.1, cap_s=0.5)

OnSnapshot = Callable[[Snapshot], None]
OnChanges = Callable[[list[WatchedChange], int], None]


@dataclass(slots=True)
class PrefixWatcher:
    """Watches one key prefix and passes its changes to callbacks."""

    store: TransactionalStore
    prefix: str
    on_snapshot: OnSnapshot
    on_changes: OnChanges
    wait_s: float = WATCH_WAIT_S
    # Returns the delay before the next call, in which changes accumulate.
    poll_delay_s: Callable[[], float] = float
    # All changes up to this revision were seen; None before the first snapshot.
    revision: int | None = None
    failures: int = 0
    # Called after each successful call.
    on_success: Callable[[], None] = lambda: None

    async def run(self) -> None:
        """Watch until cancelled, with a backoff after failed calls."""
        while True:
            if await self.poll():
                self.failures = 0
                self.on_success()
                await anyio.sleep(self.poll_delay_s())
                continue
            self.failures += 1
            await anyio.sleep(backoff_s(RETRY, self.failures, random.uniform))

    async def poll(self) -> bool:
        """Make one call to the store; return whether it succeeded.

        If the store has compacted the needed history, the next call loads a
        new snapshot.
        """
        if self.revision is None:
            return await self.load_snapshot()
        answer = await self.store.watch(
            self.prefix,
            self.revision,
            self.wait_s,
        )
        if isinstance(answer, Err):
            if answer.err_value.kind == 'compacted':
                log_event('history_lost', prefix=self.prefix)
                self.revision = None
                return True
            return False
        batch = answer.ok_value
        self.revision = max(self.revision, batch.revision)
        if batch.changes:
            self.on_changes(batch.changes, self.revision)
        return True

    async def load_snapshot(self) -> bool:
        """Read all keys; return whether it succeeded.

        Later calls watch for changes from the snapshot's revision.
        """
        answer = await self.store.list_prefix(self.prefix)
        if isinstance(answer, Err):
            return False
        self.revision = answer.ok_value.revision
        self.on_snapshot(answer.ok_value)
        return True
