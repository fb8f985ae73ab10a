"""Lets callers wait for what a starting entry still has to load."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

import anyio

from quetzaldyke.gateway.received_request import ReceivedRequest
from quetzaldyke.gateway.restart import StartPolicy
from quetzaldyke.platform import names
from quetzaldyke.process.metrics import Metrics

MS_IN_S: Final = 1000

# Waits for what a starting entry still has to load, if a request may.
LoadingWait = Callable[[ReceivedRequest], Awaitable[None]]
# Returns how long a request has waited before it was read, from what its
# connection noted.
BacklogTime = Callable[[float], float]


async def no_wait(request: ReceivedRequest) -> None:
    """Wait for nothing."""


def no_backlog(noted_s: float) -> float:
    """Return that no request has waited."""
    return 0.0


@dataclass(slots=True)
class Loading:
    """What an entry loads at its start, and the callers that wait for it."""

    policy: StartPolicy
    # Set once all that requests depend on was loaded.
    synced: anyio.Event
    now: Callable[[], float]
    metrics: Metrics

    async def wait(self, request: ReceivedRequest) -> None:
        """Wait until all is loaded, for as long as a request may."""
        if self.synced.is_set():
            return
        stated_ms = request.number(names.DEADLINE)
        remaining_s = None
        if stated_ms is not None:
            waited_s = self.backlog_s(request.backlog_s)
            remaining_s = stated_ms / MS_IN_S - waited_s
        wait_s = self.policy.loading_wait_s(self.now(), remaining_s)
        with anyio.move_on_after(wait_s):
            await self.synced.wait()
        loaded = 'true' if self.synced.is_set() else 'false'
        self.metrics.count('requests_waited_for_start_total', loaded=loaded)

    def backlog_s(self, noted_s: float) -> float:
        """Return how long a request has waited to be accepted."""
        return self.policy.backlog_s(self.now(), noted_s)
