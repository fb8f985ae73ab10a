"""Watches a key prefix of the store: a snapshot, then all later changes.

An answer of the store may be delayed on its way, or by a pause of the process
that reads it. Only the time at which the call was sent is certain: all that
was written before it is in the answer. That time is the age of a table.
"""

from __future__ import annotations

import math
import random
import time
from collections import deque
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from typing import Final

import anyio
from result import Err

from quetzaldyke.gateway.guarded import call_guarded
from quetzaldyke.gateway.logs import log_event
from quetzaldyke.parts.backoff import BackoffOptions, backoff_s
from quetzaldyke.parts.transactions import (
    Snapshot,
    TransactionalStore,
    WatchBatch,
    WatchedChange,
)

# Longest wait of one watch call. A dead connection is detected after this plus
# the slack of the call's timeout.
WATCH_WAIT_S: Final = 2.0
# Wait of the first call after others have watched, whose updates may be old,
# and after a failed call: its answer confirms that no change was missed, also
# if the store ends each watch before its wait is over.
CATCH_UP_WAIT_S: Final = 0.001
# For this long a store that is about to drop history lets watches hear nothing.
# Then it ends them.
HISTORY_DROP_S: Final = 1.0
MS_IN_S: Final = 1000
# Source of what this process has read from the store itself.
OWN_CALL: Final = 'own_call'
# Bytes of the last changes that are kept for entries that missed some. The last
# one is kept whatever its size.
MAX_HISTORY_BYTES: Final = 131_072
RETRY: Final = BackoffOptions(base_s=0.1, cap_s=0.5)

OnSnapshot = Callable[[Snapshot], None]
OnChanges = Callable[[list[WatchedChange], int], None]


def age_ms(since_s: float | None, now_s: float) -> str:
    """Return the time since an event in milliseconds, empty if there was none.

    >>> age_ms(2.0, 2.5), age_ms(-math.inf, 2.5), age_ms(None, 2.5)
    ('500', '', '')
    """
    if since_s is None or math.isinf(since_s):
        return ''
    return str(round((now_s - since_s) * MS_IN_S))


@dataclass(slots=True)
class Confirmation:
    """The latest time whose changes a table is known to hold, and by whom.

    >>> confirmation = Confirmation()
    >>> confirmation.age_s(5.0)
    inf
    >>> confirmation.note(3.0, 'e-1')
    >>> confirmation.note(2.0, OWN_CALL)
    >>> confirmation.age_s(5.0), confirmation.source
    (2.0, 'e-1')
    """

    as_of_s: float = -math.inf
    # Id of the entry whose update it was, or `OWN_CALL`; empty before the first.
    source: str = ''

    def note(self, as_of_s: float, source: str) -> None:
        """Record that a table holds all changes before a time."""
        if as_of_s > self.as_of_s:
            self.as_of_s = as_of_s
            self.source = source

    def age_s(self, now_s: float) -> float:
        """Return for how long nothing is known; infinite before the first."""
        return now_s - self.as_of_s

    def describe(self, now_s: float) -> dict[str, object]:
        """Return the log fields on the age of a table."""
        return {
            'confirmed_ms': age_ms(self.as_of_s, now_s),
            'confirmed_by': self.source,
        }


def size_of(changes: Collection[WatchedChange]) -> int:
    """Return the bytes of the keys and values of changes."""
    return sum(len(change.key) + len(change.value or b'') for change in changes)


@dataclass(slots=True)
class ChangeHistory:
    """All changes after a revision, in order.

    >>> history = ChangeHistory()
    >>> history.restart(4)
    >>> history.add([WatchedChange('a', 5, b'1'), WatchedChange('a', 7, b'2')])
    >>> [change.revision for change in history.since(4)]
    [5, 7]
    >>> history.since(7), history.since(3)
    ((), None)
    """

    # The changes up to this revision were dropped.
    dropped: int = 0
    changes: deque[WatchedChange] = field(default_factory=deque)
    size: int = 0

    def restart(self, revision: int) -> None:
        """Drop all changes; those after a revision will follow."""
        self.dropped = revision
        self.changes.clear()
        self.size = 0

    def add(self, changes: Collection[WatchedChange]) -> None:
        """Add the changes that follow the last ones."""
        self.changes.extend(changes)
        self.size += size_of(changes)
        while self.size > MAX_HISTORY_BYTES and len(self.changes) > 1:
            oldest = self.changes.popleft()
            self.size -= size_of([oldest])
            self.dropped = oldest.revision

    def since(self, revision: int) -> tuple[WatchedChange, ...] | None:
        """Return the changes after a revision; None if some were dropped."""
        if revision < self.dropped:
            return None
        return tuple(
            change for change in self.changes if change.revision > revision
        )


@dataclass(slots=True)
class PrefixWatcher:
    """Watches one key prefix and passes its changes to callbacks.

    Another entry may watch in its place, see `gateway/shared_watch.py`.
    """

    store: TransactionalStore
    prefix: str
    on_snapshot: OnSnapshot
    on_changes: OnChanges
    wait_s: float = WATCH_WAIT_S
    # Returns the delay before the next call, in which changes accumulate.
    poll_delay_s: Callable[[], float] = float
    # Returns for how long the updates of other entries replace calls.
    follow_s: Callable[[], float] = float
    # All changes up to this revision were seen; None before the first snapshot.
    revision: int | None = None
    failures: int = 0
    # Called after each watch call, with the revision after which it read.
    on_batch: Callable[[int, WatchBatch], None] = lambda after, batch: None
    # Set when changes were missed, or other entries can't be relied on any more.
    behind: anyio.Event = field(default_factory=anyio.Event)
    now: Callable[[], float] = time.monotonic
    # The changes before this time are in the last answer.
    answer_as_of_s: float = 0.0
    # As of when all changes were passed on.
    confirmation: Confirmation = field(default_factory=Confirmation)
    # Called before the first call after other entries have watched.
    on_resume: Callable[[], None] = lambda: None
    # Called with an entry that has read changes that were missed, and up to
    # which revision; without it the next step is a call to the store.
    on_missed: Callable[[str, int], None] | None = None
    # The highest revision that was found missing.
    missed_revision: int = 0
    history: ChangeHistory = field(default_factory=ChangeHistory)
    # Who brought the changes that are passed on: `OWN_CALL` or an entry's id.
    brought_by: str = ''

    async def run(self) -> None:
        """Watch until cancelled, with a backoff after failed calls."""
        while True:
            followed = await self.follow()
            catches_up = followed or self.failures > 0
            wait_s = CATCH_UP_WAIT_S if catches_up else self.wait_s
            if await self.poll(wait_s):
                self.failures = 0
                await anyio.sleep(self.poll_delay_s())
                continue
            self.failures += 1
            await anyio.sleep(backoff_s(RETRY, self.failures, random.uniform))

    async def follow(self) -> bool:
        """Wait while other entries watch; return whether any did.

        Does not wait before the first snapshot.
        """
        if self.revision is None:
            return False
        rest_s = self.follow_s()
        followed = rest_s > 0
        while rest_s > 0 and not self.behind.is_set():
            with anyio.move_on_after(rest_s):
                await self.behind.wait()
            rest_s = self.follow_s()
        if followed:
            self.on_resume()
        self.behind = anyio.Event()
        return followed

    async def poll(self, wait_s: float = WATCH_WAIT_S) -> bool:
        """Make one call to the store; return whether it succeeded.

        If the store has compacted the needed history, nothing is confirmed
        and the next call loads a new snapshot.
        """
        if self.revision is None:
            return await self.load_snapshot()
        called_s = self.now()
        after = self.revision
        answer = await self.store.watch(self.prefix, after, wait_s)
        if isinstance(answer, Err):
            if answer.err_value.kind == 'compacted':
                log_event('history_lost', prefix=self.prefix)
                self.revision = None
                return True
            return False
        batch = answer.ok_value
        if batch.changes or wait_s >= HISTORY_DROP_S:
            self.answer_as_of_s = called_s
        elif wait_s > CATCH_UP_WAIT_S:
            # The watch may have heard nothing since `HISTORY_DROP_S` before its end; no
            # change in a very short wait proves nothing at all.
            as_of_s = min(called_s, self.now() - HISTORY_DROP_S)
            self.answer_as_of_s = max(self.answer_as_of_s, as_of_s)
        self.on_batch(after, batch)
        self.advance(batch.changes, batch.revision, OWN_CALL)
        self.confirmation.note(self.answer_as_of_s, OWN_CALL)
        return True

    def apply_update(
        self,
        after: int,
        changes: Sequence[WatchedChange] | None,
        revision: int,
        sender: str,
    ) -> bool:
        """Apply what another entry has read; return whether it is up to date.

        If changes are missing, the sender is asked for them. An entry that
        has read less than this one was paused.
        """
        if self.revision is None or revision < self.revision:
            return False
        if changes is None or after > self.revision:
            if revision > self.revision:
                self.note_missed(revision, sender)
                return False
            changes = ()
        self.advance(changes, revision, sender)
        return True

    def note_missed(self, revision: int, sender: str) -> None:
        """Ask for changes that were missed, and log the first sign of them."""
        if revision > self.missed_revision:
            self.missed_revision = revision
            log_event(
                'watch_missed',
                prefix=self.prefix,
                sender=sender,
                seen=self.revision,
                revision=revision,
                **self.confirmation.describe(self.now()),
            )
        if self.on_missed is None:
            self.behind.set()
        else:
            self.on_missed(sender, revision)

    def advance(
        self, changes: Sequence[WatchedChange], revision: int, source: str
    ) -> None:
        """Pass on the changes that were not seen yet, up to a revision."""
        self.brought_by = source
        seen = self.revision or 0
        new = [change for change in changes if change.revision > seen]
        self.revision = max(seen, revision)
        if new:
            self.history.add(new)
            call_guarded(self.on_changes, new, self.revision)

    async def load_snapshot(self) -> bool:
        """Read all keys; return whether it succeeded.

        Later calls watch for changes from the snapshot's revision.
        """
        called_s = self.now()
        answer = await self.store.list_prefix(self.prefix)
        if isinstance(answer, Err):
            return False
        self.answer_as_of_s = called_s
        self.brought_by = OWN_CALL
        revision = answer.ok_value.revision
        self.revision = revision
        self.history.restart(revision)
        # Entries that lack any of the changes before it read them themselves.
        self.on_batch(revision, WatchBatch([], revision))
        call_guarded(self.on_snapshot, answer.ok_value)
        self.confirmation.note(called_s, OWN_CALL)
        return True
