"""A short soak for CI, the seeds that ever failed, and tests of its checker."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import anyio
import pytest

from quetzaldyke.standins.platform_endpoint import event_of, expected_output
from soak import run_seed
from soak_history import Attempt, History, JobHistory, Run

CI_SEEDS = (1, 2)
EVENTS = 3


@pytest.mark.parametrize('seed', CI_SEEDS)
def test_short_soak(seed: int, tmp_path: Path) -> None:
    """Guards against promises broken under random faults."""
    assert anyio.run(run_seed, seed, tmp_path) == []


def whole(request_id: str, route: str = 'again') -> Attempt:
    """Return an attempt with the whole answer."""
    body = b''.join(event_of(request_id, number) for number in range(1, 4))
    return Attempt(request_id, route, 200, body, 'whole')


def history_of(*attempts: Attempt, runs: tuple[Run, ...] = ()) -> History:
    """Return a history of attempts and runs."""
    return History(EVENTS, attempts=list(attempts), runs=list(runs))


RUN = Run('r', 'e1', 1, 1.0)
OTHER_RUN = Run('r', 'e2', 1, 2.0)


def test_sound_history_passes() -> None:
    """Guards against a checker that sees faults everywhere."""
    assert not history_of(whole('r'), runs=(RUN, OTHER_RUN)).check()


@pytest.mark.parametrize(
    'attempt',
    [
        replace(whole('r'), body=whole('r').body[:-20]),
        replace(whole('r'), body=whole('s').body),
        replace(whole('r'), body=event_of('r', 1) + event_of('r', 3)),
        replace(whole('r'), body=event_of('r', 2), ending='cut'),
        replace(whole('r'), body=event_of('r', 1), ending='cut', calm=True),
    ],
)
def test_wrong_answers_are_seen(attempt: Attempt) -> None:
    """Guards against a checker that misses a cut, foreign or mixed answer."""
    assert history_of(attempt).check()


def test_second_run_is_seen() -> None:
    """Guards against a checker that misses a request that ran twice."""
    assert history_of(whole('r', 'once'), runs=(RUN, OTHER_RUN)).check()


def test_untrue_refusal_is_seen() -> None:
    """Guards against a checker that misses an untrue refusal."""
    refused = Attempt('r', 'book', 503, b'', 'whole')
    assert history_of(refused, runs=(RUN,)).check()
    assert not history_of(refused).check()


def job_of(**changes: object) -> History:
    """Return a history with one job of one item that was done."""
    job = JobHistory('j', ['j-0'], accepted=True, submits=1)
    job.results[0] = ('j-0', 'completed', expected_output('j-0', EVENTS))
    for name, setting in changes.items():
        setattr(job, name, setting)
    runs = [Run('j-0', 'e1', 1, 100.0)]
    return History(EVENTS, runs=runs, jobs=[job])


def test_sound_job_passes() -> None:
    """Guards against a checker that faults a job that was done."""
    assert not job_of().check()


@pytest.mark.parametrize(
    'changes',
    [
        {'results': {}},
        {'results': {0: ('j-0', 'completed', 'other')}},
        {'results': {0: ('k-0', 'dead_letter', '')}},
        {
            'results': {
                0: ('j-0', 'dead_letter', ''),
                1: ('j-0', 'dead_letter', ''),
            },
        },
        {'ended_s': 10.0},
        {'accepted': False, 'refusals': 1},
        {'conflicts': ['position 0']},
    ],
)
def test_broken_jobs_are_seen(changes: dict[str, object]) -> None:
    """Guards against a checker that misses a broken promise of a job."""
    assert job_of(**changes).check()


def test_changed_result_is_noted() -> None:
    """Guards against a reader that forgets what it has read."""
    job = JobHistory('j', ['j-0'])
    job.note_result(0, ('j-0', 'completed', 'x'))
    job.note_result(0, ('j-0', 'completed', 'y'))
    assert job.conflicts
