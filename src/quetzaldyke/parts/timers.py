"""Timer service: one place that knows the time and runs periodic work.

Parts subscribe with an interval. Tests pass a clock of their own and call
`fire_due`, so no test has to sleep.
"""

from __future__ import annotations

import math
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final

import anyio

from quetzaldyke.parts.errors import Errors

# Jobs that are due within this time share one wake-up.
MIN_SLEEP_S: Final = 0.02
# A job that is subscribed while the service sleeps waits no longer.
MAX_SLEEP_S: Final = 0.25

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
    # When the next wake-up is planned; 0 before the first.
    planned_s: float = 0.0
    # Told how late each wake-up was; a long delay means the process paused.
    pause_handlers: list[Callable[[float], None]] = field(default_factory=list)

    def subscribe(self, name: str, interval_s: float, job: Job) -> Subscription:
        """Run `job` every `interval_s` seconds from now on."""
        due_s = next_due_s(self.clock.now(), interval_s)
        subscription = Subscription(name, interval_s, job, due_s)
        self.subscriptions.append(subscription)
        return subscription

    def unsubscribe(self, subscription: Subscription) -> None:
        """Stop running the job of a subscription."""
        if subscription in self.subscriptions:
            self.subscriptions.remove(subscription)

    def on_pause(self, handler: Callable[[float], None]) -> None:
        """Call `handler` with the seconds that a wake-up came late."""
        self.pause_handlers.append(handler)

    def due(self) -> list[Subscription]:
        """Return the subscriptions to run now and plan their next time."""
        now_s = self.clock.now()
        ready = []
        for subscription in self.subscriptions:
            if subscription.due_s > now_s or subscription.running:
                continue
            subscription.due_s = next_due_s(now_s, subscription.interval_s)
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
        """Run jobs as they become due, until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                self.planned_s = self.next_wakeup_s()
                # Negative when the process was paused just now.
                await anyio.sleep(max(0.0, self.planned_s - self.clock.now()))
                self.report_delay()
                for subscription in self.due():
                    subscription.running = True
                    group.start_soon(self.fire, subscription)

    def next_wakeup_s(self) -> float:
        """Return when the next job is due, within the bounds of a sleep."""
        now_s = self.clock.now()
        due_s = min(
            (one.due_s for one in self.subscriptions if not one.running),
            default=now_s + MAX_SLEEP_S,
        )
        return min(max(due_s, now_s + MIN_SLEEP_S), now_s + MAX_SLEEP_S)

    @property
    def delay_s(self) -> float:
        """Return how late the planned wake-up is by now."""
        if not self.planned_s:
            return 0.0
        return max(0.0, self.clock.now() - self.planned_s)

    def report_delay(self) -> None:
        """Tell the pause handlers once how late the wake-up came."""
        delay_s = self.delay_s
        self.planned_s = self.clock.now()
        for handler in self.pause_handlers:
            handler(delay_s)


def next_due_s(now_s: float, interval_s: float) -> float:
    """Return the next time on the interval's grid.

    Jobs with equal or multiple intervals then share their wake-ups, which
    are half of the cost of an idle process.

    >>> next_due_s(10.3, 0.5)
    10.5
    """
    return (math.floor(now_s / interval_s) + 1) * interval_s
