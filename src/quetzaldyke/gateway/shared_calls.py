"""Makes one call to the store for all who need its outcome.

Load pattern: many callers ask for the same thing at the same time, and a call
for each would grow with their number.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
from result import Result

from quetzaldyke.parts.kv import KvError

Outcome = Result[None, KvError]


@dataclass(slots=True)
class SharedCall:
    """A call whose outcome several waiters need."""

    done: anyio.Event = field(default_factory=anyio.Event)
    # None if the call was cancelled.
    outcome: Outcome | None = None


@dataclass(slots=True)
class SharedCalls:
    """Calls by what they are about."""

    running: dict[str, SharedCall] = field(default_factory=dict)

    async def run(
        self, key: str, step: Callable[[], Awaitable[Outcome]]
    ) -> Outcome | None:
        """Make a call, or wait for the one that runs; return its outcome.

        None if that call was cancelled; who waited for it may try again.
        """
        running = self.running.get(key)
        if running is not None:
            await running.done.wait()
            return running.outcome
        call = self.running[key] = SharedCall()
        try:
            call.outcome = await step()
        finally:
            del self.running[key]
            call.done.set()
        return call.outcome
