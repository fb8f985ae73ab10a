"""What a soak's callers and endpoints saw, and the promises it must meet."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Final, Literal

from quetzaldyke.standins.platform_endpoint import event_of, expected_output

# From the end of a job to the last start of one of its items, and how long
# a process may have been paused meanwhile.
CANCEL_LIMIT_S: Final = 3.0
PAUSE_LIMIT_S: Final = 3.0
NOT_RUN: Final = frozenset((408, 421, 429, 503))

# `whole`: the answer ended as complete; `cut`: its channel broke.
Ending = Literal['whole', 'cut', 'none']


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a caller."""

    request_id: str
    route: str
    status: int
    body: bytes
    ending: Ending
    # Whether no fault but planned work was going on.
    calm: bool = False


@dataclass(frozen=True, slots=True)
class Run:
    """One run at an endpoint."""

    request_id: str
    endpoint: str
    first_event: int
    started_s: float


@dataclass(slots=True)
class JobHistory:
    """What was seen of one job."""

    job_id: str
    items: list[str]
    accepted: bool = False
    refusals: int = 0
    submits: int = 0
    ended_s: float = 0.0
    # Result by position, as first read.
    results: dict[int, tuple[str, str, str]] = field(default_factory=dict)
    conflicts: list[str] = field(default_factory=list)

    def note_result(self, position: int, result: tuple[str, str, str]) -> None:
        """Keep a result, and note one that differs from an earlier read."""
        known = self.results.setdefault(position, result)
        if known != result:
            self.conflicts.append(f'position {position}: {known} {result}')


@dataclass(slots=True)
class History:
    """Everything that a soak saw."""

    events: int
    attempts: list[Attempt] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    jobs: list[JobHistory] = field(default_factory=list)
    # Endpoints that were killed: their earlier runs are not known.
    forgotten: set[str] = field(default_factory=set)

    def check(self) -> list[str]:
        """Return every promise that was broken."""
        return [
            *self.check_answers(),
            *self.check_once(),
            *self.check_refusals(),
            *self.check_calm(),
            *self.check_jobs(),
        ]

    def check_answers(self) -> list[str]:
        """A whole answer is the whole answer to its own request."""
        broken = []
        for one in self.attempts:
            if one.status != 200 or one.ending == 'none':
                continue
            expected = self.expected(one)
            if one.ending == 'whole' and one.body != expected:
                broken.append(f'{one.request_id}: whole answer is wrong')
            if not expected.startswith(one.body):
                broken.append(f'{one.request_id}: events out of order')
        return broken

    def expected(self, one: Attempt) -> bytes:
        """Return the whole answer to a request."""
        if one.route in {'book', 'look'}:
            return f'done {one.request_id}'.encode()
        numbers = range(1, self.events + 1)
        return b''.join(event_of(one.request_id, number) for number in numbers)

    def check_once(self) -> list[str]:
        """A request that is not idempotent runs once at most."""
        once = {
            one.request_id
            for one in self.attempts
            if one.route in {'once', 'book'}
        }
        counts = Counter(
            run.request_id for run in self.runs if run.request_id in once
        )
        return [
            f'{request_id}: ran {count} times'
            for request_id, count in counts.items()
            if count > 1
        ]

    def check_refusals(self) -> list[str]:
        """A refusal that says not run is true."""
        ran = {run.request_id for run in self.runs}
        return [
            f'{one.request_id}: answered {one.status} and has run'
            for one in self.attempts
            if one.status in NOT_RUN
            and one.route in {'once', 'book'}
            and one.request_id in ran
        ]

    def check_calm(self) -> list[str]:
        """A planned stop cuts no request."""
        return [
            f'{one.request_id}: {one.ending} at a planned stop'
            for one in self.attempts
            if one.calm and one.status and one.ending == 'cut'
        ]

    def check_jobs(self) -> list[str]:
        """Accepted items are done once, whole, and stay where they are."""
        broken: list[str] = []
        for job in self.jobs:
            broken.extend(f'{job.job_id}: {one}' for one in job.conflicts)
            ids = [result[0] for result in job.results.values()]
            if len(ids) != len(set(ids)):
                broken.append(f'{job.job_id}: an item at two positions')
            if set(ids) - set(job.items):
                broken.append(f'{job.job_id}: an item of another job')
            if job.accepted and not job.ended_s and len(ids) < len(job.items):
                broken.append(
                    f'{job.job_id}: {len(ids)} of {len(job.items)} items done',
                )
            broken.extend(self.check_outputs(job))
            broken.extend(self.check_end(job))
        return broken

    def check_outputs(self, job: JobHistory) -> list[str]:
        """The output of a completed item is whole."""
        return [
            f'{job.job_id}: output of {item} is wrong'
            for item, state, output in job.results.values()
            if state == 'completed'
            and output != expected_output(item, self.events)
        ]

    def check_end(self, job: JobHistory) -> list[str]:
        """A cancelled job stops, and a refused one never starts."""
        runs = [run for run in self.runs if run.request_id in job.items]
        if job.submits and job.refusals == job.submits and runs:
            return [f'{job.job_id}: refused each time and has run']
        if not job.ended_s:
            return []
        last_s = job.ended_s + CANCEL_LIMIT_S + PAUSE_LIMIT_S
        return [
            f'{job.job_id}: {run.request_id} ran after the end'
            for run in runs
            if run.started_s > last_s
        ]
