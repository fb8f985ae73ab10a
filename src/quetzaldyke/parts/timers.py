"""Timer service: one place that knows the time and runs periodic work.

Parts subscribe with an interval. Tests pass a clock of their own and call
`fire_due`, so no test has to sleep.
"""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final

import anyio

from quetzaldyke.parts.errors import Errors

TICK_S: Final = 0.02

Job = Callable[[], Awaitable[None]]


@dataclass(slots=True)
class Clock:
    """Monotonic time in seconds.

    >>> Clock(read=lambda: 4.0).now()
    4.0
    """

    read: Callable[[], float] = time.monotonic

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.read()


@dataclass(slots=True)
class Subscription:
    """Periodic work of one part."""

    name: str
    interval_s: float
    job: Job
    due_s: float
    running: bool = False


@dataclass(slots=True)
class TimerService:
    """Runs subscribed jobs at their intervals.

    A job that is still running when its next time comes is skipped, not
    queued, so that a slow dependency can't pile up work.
    """

    clock: Clock = field(default_factory=Clock)
    subscriptions: list[Subscription] = field(default_factory=list)
    failures: Errors = field(default_factory=Errors)
    on_failure: Callable[[str, Exception], None] | None = None
    last_tick_s: float = 0.0
    # Longest gap between ticks lately; a large one means the process paused.
    pause_handlers: list[Callable[[float], None]] = field(default_factory=list)

    def subscribe(self, name: str, interval_s: float, job: Job) -> Subscription:
        """Run `job` every `interval_s` seconds from now on."""
        due_s = self.clock.now() + interval_s
        subscription = Subscription(name, interval_s, job, due_s)
        self.subscriptions.append(subscription)
        return subscription

    def unsubscribe(self, subscription: Subscription) -> None:
        """Stop running the job of a subscription."""
        if subscription in self.subscriptions:
            self.subscriptions.remove(subscription)

    def on_pause(self, handler: Callable[[float], None]) -> None:
        """Call `handler` with the gap in seconds when a tick came late."""
        self.pause_handlers.append(handler)

    def due(self) -> list[Subscription]:
        """Return the subscriptions to run now and plan their next time."""
        now_s = self.clock.now()
        ready = []
        for subscription in self.subscriptions:
            if subscription.due_s > now_s or subscription.running:
                continue
            subscription.due_s = now_s + subscription.interval_s
            ready.append(subscription)
        return ready

    async def fire(self, subscription: Subscription) -> None:
        """Run one job; a failing job is reported and runs again later."""
        subscription.running = True
        try:
            await subscription.job()
        except Exception as exc:
            self.report_failure(subscription.name, exc)
        finally:
            subscription.running = False

    def report_failure(self, name: str, exc: Exception) -> None:
        """Hand a job's failure to the owner of the service."""
        if self.on_failure is None:
            self.failures.add(name, repr(exc))
            return
        self.on_failure(name, exc)

    async def fire_due(self) -> None:
        """Run every due job one after the other (for tests)."""
        for subscription in self.due():
            await self.fire(subscription)

    async def run(self) -> None:
        """Tick until cancelled."""
        self.last_tick_s = self.clock.now()
        async with anyio.create_task_group() as group:
            while True:
                await anyio.sleep(TICK_S)
                self.notice_pause()
                for subscription in self.due():
                    subscription.running = True
                    group.start_soon(self.fire, subscription)

    def notice_pause(self) -> None:
        """Tell the pause handlers how late this tick came."""
        now_s = self.clock.now()
        gap_s = now_s - self.last_tick_s
        self.last_tick_s = now_s
        for handler in self.pause_handlers:
            handler(gap_s)
