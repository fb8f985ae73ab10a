"""Monotonic clock and a timer service that runs periodic jobs.

Components subscribe jobs with an interval. Tests pass their own clock and
call `fire_due`, so that no test has to sleep.
"""

from __future__ import annotations

import math
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final

import anyio

from quetzaldyke.parts.errors import Errors

# Minimum sleep, so that jobs due within this time share one wake-up.
MIN_SLEEP_S: Final = 0.02
# Maximum sleep, which limits the delay of a job that is subscribed meanwhile.
MAX_SLEEP_S: Final = 0.25

Job = Callable[[], Awaitable[None]]


def boot_time_s() -> float:
    """Return a monotonic time that goes on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(slots=True)
class Clock:
    """Source of the monotonic time.

    >>> Clock(read=lambda: 4.0).now()
    4.0
    """

    read: Callable[[], float] = time.monotonic

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.read()


@dataclass(slots=True)
class Subscription:
    """A periodic job and when it is due next."""

    name: str
    interval_s: float
    job: Job
    due_s: float
    running: bool = False


@dataclass(slots=True)
class TimerService:
    """Runs subscribed jobs at their intervals.

    A job that is still running when it is due again is skipped, not queued,
    so that a slow dependency does not cause a backlog.
    """

    clock: Clock = field(default_factory=Clock)
    subscriptions: list[Subscription] = field(default_factory=list)
    failures: Errors = field(default_factory=Errors)
    on_failure: Callable[[str, Exception], None] | None = None
    # Time of the next planned wake-up; 0 before the first.
    planned_wakeup_s: float = 0.0
    # Called with the delay of each wake-up. A long delay means that the
    # process was paused.
    delay_handlers: list[Callable[[float], None]] = field(default_factory=list)

    def subscribe(self, name: str, interval_s: float, job: Job) -> Subscription:
        """Run `job` every `interval_s` seconds, first at the next multiple."""
        due_s = next_due_s(self.clock.now(), interval_s)
        subscription = Subscription(name, interval_s, job, due_s)
        self.subscriptions.append(subscription)
        return subscription

    def unsubscribe(self, subscription: Subscription) -> None:
        """Stop running the job of a subscription; a running job finishes."""
        if subscription in self.subscriptions:
            self.subscriptions.remove(subscription)

    def on_wakeup(self, handler: Callable[[float], None]) -> None:
        """Register `handler` to be called with the delay of each wake-up."""
        self.delay_handlers.append(handler)

    def due(self) -> list[Subscription]:
        """Return the subscriptions to run now and set their next due time."""
        now_s = self.clock.now()
        ready = []
        for subscription in self.subscriptions:
            if subscription.due_s > now_s or subscription.running:
                continue
            subscription.due_s = next_due_s(now_s, subscription.interval_s)
            ready.append(subscription)
        return ready

    async def fire(self, subscription: Subscription) -> None:
        """Run one job; a failure is reported and the job stays subscribed."""
        subscription.running = True
        try:
            await subscription.job()
        except Exception as exc:
            self.report_failure(subscription.name, exc)
        finally:
            subscription.running = False

    def report_failure(self, name: str, exc: Exception) -> None:
        """Pass a failure to `on_failure`, or else add it to `failures`."""
        if self.on_failure is None:
            self.failures.add(name, repr(exc))
            return
        self.on_failure(name, exc)

    async def fire_due(self) -> None:
        """Run every due job sequentially (for tests)."""
        for subscription in self.due():
            await self.fire(subscription)

    async def run(self) -> None:
        """Run jobs as they become due, until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                self.planned_wakeup_s = self.next_wakeup_s()
                # Negative if the process was paused since the line above.
                await anyio.sleep(
                    max(0.0, self.planned_wakeup_s - self.clock.now())
                )
                self.report_delay()
                for subscription in self.due():
                    subscription.running = True
                    group.start_soon(self.fire, subscription)

    def next_wakeup_s(self) -> float:
        """Return when the next job is due, limited to the sleep bounds."""
        now_s = self.clock.now()
        due_s = min(
            (one.due_s for one in self.subscriptions if not one.running),
            default=now_s + MAX_SLEEP_S,
        )
        return min(max(due_s, now_s + MIN_SLEEP_S), now_s + MAX_SLEEP_S)

    @property
    def delay_s(self) -> float:
        """Return how long the planned wake-up is overdue."""
        if not self.planned_wakeup_s:
            return 0.0
        return max(0.0, self.clock.now() - self.planned_wakeup_s)

    def report_delay(self) -> None:
        """Pass the delay of the wake-up to the handlers, once per wake-up."""
        delay_s = self.delay_s
        self.planned_wakeup_s = self.clock.now()
        for handler in self.delay_handlers:
            handler(delay_s)


def next_due_s(now_s: float, interval_s: float) -> float:
    """Return the next multiple of the interval after `now_s`.

    Jobs with equal or multiple intervals then share their wake-ups, which
    make up half of the cost of an idle process.

    >>> next_due_s(10.3, 0.5)
    10.5
    """
    return (math.floor(now_s / interval_s) + 1) * interval_s
