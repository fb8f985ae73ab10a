"""Tests of the timer service."""

from __future__ import annotations

import anyio

from quetzaldyke.parts.timers import Clock, TimerService


class ManualTime:
    """Clock that a test sets."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def read(self) -> float:
        """Return the time."""
        return self.now_s


def make_service() -> tuple[TimerService, ManualTime]:
    """Return a service on manual time."""
    time = ManualTime()
    return TimerService(Clock(time.read)), time


def test_jobs_run_at_their_intervals() -> None:
    """Guards against jobs that run too often or too rarely."""
    service, time = make_service()
    runs: list[str] = []

    async def fast() -> None:
        runs.append('fast')

    async def slow() -> None:
        runs.append('slow')

    service.subscribe('fast', 0.5, fast)
    service.subscribe('slow', 2.0, slow)

    async def scenario() -> None:
        for _ in range(32):
            time.now_s += 0.125
            await service.fire_due()

    anyio.run(scenario)
    assert (runs.count('fast'), runs.count('slow')) == (8, 2)


def test_jobs_share_wakeups() -> None:
    """Guards against a separate wake-up for each subscription."""
    service, time = make_service()

    async def job() -> None:
        """Do nothing."""

    for number in range(5):
        time.now_s += 0.013
        service.subscribe(f'job-{number}', 0.1, job)
    assert len({one.due_s for one in service.subscriptions}) == 1


def test_failing_job_is_reported_and_runs_again() -> None:
    """Guards against a job that never runs again after a failure."""
    service, time = make_service()
    runs: list[int] = []

    async def job() -> None:
        runs.append(len(runs))
        if len(runs) == 1:
            raise ValueError('first run fails')

    service.subscribe('job', 1.0, job)

    async def scenario() -> None:
        for _ in range(2):
            time.now_s += 1.0
            await service.fire_due()

    anyio.run(scenario)
    assert runs == [0, 1]
    assert service.failures.found


def test_delay_is_reported_once() -> None:
    """Guards against an unnoticed pause of the process."""
    service, time = make_service()
    delays: list[float] = []
    service.on_wakeup(delays.append)
    service.planned_wakeup_s = service.next_wakeup_s()
    time.now_s = service.planned_wakeup_s + 10
    service.report_delay()
    service.report_delay()
    assert delays == [10.0, 0.0]


def test_pause_between_planning_and_sleeping() -> None:
    """Guards against ending the service after a pause at that point."""
    readings = iter([100.0, 100.0, 105.0, 105.0])
    last = 105.0

    def read() -> float:
        nonlocal last
        last = next(readings, last + 0.01)
        return last

    service = TimerService(Clock(read))
    runs: list[str] = []

    async def job() -> None:
        runs.append('job')

    async def run() -> None:
        service.subscribe('job', 0.5, job)
        with anyio.move_on_after(0.3):
            await service.run()

    anyio.run(run)
    assert runs
