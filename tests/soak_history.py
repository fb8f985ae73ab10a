"""The history of a soak test, and the checks of the fleet's guarantees."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Final, Literal

from quetzaldyke.standins.platform_endpoint import event_of, expected_output

# An item may still start for this long after its job was cancelled, plus the
# time for which a fault may have paused a process meanwhile.
CANCEL_TIMEOUT_S: Final = 3.0
MAX_PAUSE_S: Final = 3.0
# The users' limits on a part of prompts that crashes endpoints: how many may
# still crash later than this after so many have.
ALLOWED_CRASHES: Final = 5
CONTACT_S: Final = 3.0
MAX_LATE_CRASHES: Final = 3
NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))

# `whole`: the response is complete; `cut`: its connection failed after the
# response head; `none`: there was no response head.
Ending = Literal['whole', 'cut', 'none']


@dataclass(frozen=True, slots=True)
class Attempt:
    """A request of a caller and the response to it."""

    request_id: str
    route: str
    status: int
    body: bytes
    ending: Ending
    # Whether nothing but a graceful shutdown happened to the fleet meanwhile.
    fault_free: bool = False


@dataclass(frozen=True, slots=True)
class Run:
    """One run of a request, as recorded by the endpoint."""

    request_id: str
    endpoint: str
    first_event: int
    started_s: float


@dataclass(slots=True)
class JobHistory:
    """The submissions, results and cancellation of one job.

    `cancelled_s` is 0 if the job was not cancelled.
    """

    job_id: str
    items: list[str]
    accepted: bool = False
    refusals: int = 0
    submits: int = 0
    cancelled_s: float = 0.0
    # The first result read at each position: item id, state and output.
    results: dict[int, tuple[str, str, str]] = field(default_factory=dict)
    conflicts: list[str] = field(default_factory=list)

    def record_result(
        self, position: int, result: tuple[str, str, str]
    ) -> None:
        """Store a result, or a conflict if an earlier read gave another."""
        first_read = self.results.setdefault(position, result)
        if first_read != result:
            self.conflicts.append(f'position {position}: {first_read} {result}')


@dataclass(slots=True)
class History:
    """All attempts, runs and jobs of one run of the soak test."""

    events: int
    attempts: list[Attempt] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    jobs: list[JobHistory] = field(default_factory=list)
    # Killed endpoints: their records of earlier runs are lost.
    killed_endpoints: set[str] = field(default_factory=set)
    # When endpoints ended under prompts with the crashing part.
    crashes_s: list[float] = field(default_factory=list)

    def check(self) -> list[str]:
        """Return a description of each violated guarantee."""
        return [
            *self.check_responses(),
            *self.check_single_run(),
            *self.check_refusals(),
            *self.check_planned_stop(),
            *self.check_jobs(),
            *self.check_crashes(),
        ]

    def check_responses(self) -> list[str]:
        """Report responses that are wrong or not a prefix of the right one."""
        violations = []
        for attempt in self.attempts:
            if attempt.status != 200 or attempt.ending == 'none':
                continue
            expected = self.expected(attempt)
            if attempt.ending == 'whole' and attempt.body != expected:
                violations.append(
                    f'{attempt.request_id}: whole answer is wrong'
                )
            if not expected.startswith(attempt.body):
                violations.append(f'{attempt.request_id}: events out of order')
        return violations

    def expected(self, attempt: Attempt) -> bytes:
        """Return the complete response to a request."""
        if attempt.route in {'book', 'look'}:
            return f'done {attempt.request_id}'.encode()
        numbers = range(1, self.events + 1)
        return b''.join(
            event_of(attempt.request_id, number) for number in numbers
        )

    def check_single_run(self) -> list[str]:
        """Report non-idempotent requests that ran more than once."""
        once = {
            attempt.request_id
            for attempt in self.attempts
            if attempt.route in {'once', 'book'}
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
        """Report requests that ran although the status says they did not."""
        ran = {run.request_id for run in self.runs}
        return [
            f'{attempt.request_id}: answered {attempt.status} and has run'
            for attempt in self.attempts
            if attempt.status in NOT_RUN_STATUSES
            and attempt.route in {'once', 'book'}
            and attempt.request_id in ran
        ]

    def check_planned_stop(self) -> list[str]:
        """Report requests that a graceful shutdown interrupted."""
        return [
            f'{attempt.request_id}: {attempt.ending} during a graceful shutdown'
            for attempt in self.attempts
            if attempt.fault_free and attempt.status and attempt.ending == 'cut'
        ]

    def check_crashes(self) -> list[str]:
        """Report a crashing part that is not kept away from the endpoints."""
        if len(self.crashes_s) < ALLOWED_CRASHES:
            return []
        from_s = self.crashes_s[ALLOWED_CRASHES - 1] + CONTACT_S
        late = sum(crash_s > from_s for crash_s in self.crashes_s)
        if late <= MAX_LATE_CRASHES:
            return []
        return [f'{late} endpoints crashed under a part that was known']

    def check_jobs(self) -> list[str]:
        """Report jobs whose results are missing, wrong or inconsistent."""
        violations: list[str] = []
        for job in self.jobs:
            violations.extend(
                f'{job.job_id}: {conflict}' for conflict in job.conflicts
            )
            ids = [result[0] for result in job.results.values()]
            if len(ids) != len(set(ids)):
                violations.append(f'{job.job_id}: an item at two positions')
            if set(ids) - set(job.items):
                violations.append(f'{job.job_id}: an item of another job')
            if (
                job.accepted
                and not job.cancelled_s
                and len(ids) < len(job.items)
            ):
                violations.append(
                    f'{job.job_id}: {len(ids)} of {len(job.items)} items done',
                )
            violations.extend(self.check_outputs(job))
            violations.extend(self.check_cancellation(job))
        return violations

    def check_outputs(self, job: JobHistory) -> list[str]:
        """Report completed items whose output is not the complete one."""
        return [
            f'{job.job_id}: output of {item} is wrong'
            for item, state, output in job.results.values()
            if state == 'completed'
            and output != expected_output(item, self.events)
        ]

    def check_cancellation(self, job: JobHistory) -> list[str]:
        """Report items that ran although the job was cancelled or refused."""
        runs = [run for run in self.runs if run.request_id in job.items]
        if job.submits and job.refusals == job.submits and runs:
            return [f'{job.job_id}: refused each time and has run']
        if not job.cancelled_s:
            return []
        last_s = job.cancelled_s + CANCEL_TIMEOUT_S + MAX_PAUSE_S
        return [
            f'{job.job_id}: {run.request_id} ran after the end'
            for run in runs
            if run.started_s > last_s
        ]
