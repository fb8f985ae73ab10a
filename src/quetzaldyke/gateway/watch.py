"""Follows a prefix of the store: a list first, then every change after it."""

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

# A watch on a silent connection is noticed after this and the call's slack.
WATCH_WAIT_S: Final = 2.0
RETRY: Final = BackoffOptions(base_s=0.1, cap_s=0.5)

OnSnapshot = Callable[[Snapshot], None]
OnChanges = Callable[[list[WatchedChange], int], None]


@dataclass(slots=True)
class Follower:
    """One followed prefix."""

    store: TransactionalStore
    prefix: str
    on_snapshot: OnSnapshot
    on_changes: OnChanges
    wait_s: float = WATCH_WAIT_S
    # Time to gather changes before the next call.
    pause_s: Callable[[], float] = float
    # Everything up to this revision was seen; None before the first list.
    revision: int | None = None
    failures: int = 0
    # Told after each call that succeeded.
    on_step: Callable[[], None] = lambda: None

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if await self.step():
                self.failures = 0
                self.on_step()
                await anyio.sleep(self.pause_s())
                continue
            self.failures += 1
            await anyio.sleep(backoff_s(RETRY, self.failures, random.uniform))

    async def step(self) -> bool:
        """Make one call; tell whether it succeeded."""
        if self.revision is None:
            return await self.take_list()
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

    async def take_list(self) -> bool:
        """Read all keys; changes are followed from there."""
        answer = await self.store.list_prefix(self.prefix)
        if isinstance(answer, Err):
            return False
        self.revision = answer.ok_value.revision
        self.on_snapshot(answer.ok_value)
        return True
