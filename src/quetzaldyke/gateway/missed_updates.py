"""Closes the gaps that updates show: from their sender, else from the store.

Failure pattern: an update that is larger than the links of its sender carry
to all followers at once is lost, or is only announced. All followers that
lack it would call the store at the same time, and those that can't reach it
would stay behind.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio

from quetzaldyke.gateway.gossip_messages import WatchUpdate
from quetzaldyke.gateway.guarded import run_guarded
from quetzaldyke.gateway.logs import log_event
from quetzaldyke.gateway.watch import PrefixWatcher

# Returns the changes of a prefix after a revision that an entry holds, or None
# if it does not answer in time or has dropped some.
AskPeer = Callable[[str, str, int], Awaitable[WatchUpdate | None]]


@dataclass(frozen=True, slots=True)
class Gap:
    """A revision that was not seen, and the entry that has seen it."""

    revision: int
    sender: str


@dataclass(slots=True)
class GapCloser:
    """Asks the senders of updates for what one watch has missed."""

    watcher: PrefixWatcher
    ask: AskPeer
    # Applies an update that was asked for.
    on_fetched: Callable[[WatchUpdate], None]
    gap: Gap | None = None
    noted: anyio.Event = field(default_factory=anyio.Event)

    def note(self, sender: str, revision: int) -> None:
        """Record a gap; it includes those with lower revisions."""
        if self.gap is None or revision >= self.gap.revision:
            self.gap = Gap(revision, sender)
        self.noted.set()

    async def run(self) -> None:
        """Close gaps as they are noted, until cancelled."""
        while True:
            await self.noted.wait()
            self.noted = anyio.Event()
            gap, self.gap = self.gap, None
            if gap is not None:
                await run_guarded(self.close, gap)

    async def close(self, gap: Gap) -> None:
        """Ask the sender; leave what it does not have to the store."""
        watcher = self.watcher
        if watcher.revision is None or watcher.revision >= gap.revision:
            return
        after = watcher.revision
        try:
            update = await self.ask(gap.sender, watcher.prefix, after)
            if update is not None:
                self.on_fetched(update)
        finally:
            self.conclude(gap, after)

    def conclude(self, gap: Gap, after: int) -> None:
        """Log whether a gap was closed; call the store if it was not."""
        watcher = self.watcher
        closed = (watcher.revision or 0) >= gap.revision
        log_event(
            'watch_gap_closed' if closed else 'watch_gap_open',
            prefix=watcher.prefix,
            asked=gap.sender,
            after=after,
            revision=gap.revision,
        )
        if not closed:
            watcher.behind.set()
