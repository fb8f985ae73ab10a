"""Short soak tests for CI, seeds that ever failed, and tests of the checks."""

from __future__ import annotations

import functools
from dataclasses import replace
from pathlib import Path

import anyio
import pytest

from quetzaldyke.standins.platform_endpoint import event_of, expected_output
from soak import run_seed
from soak_history import Attempt, History, JobHistory, Run

CI_SEEDS = (1, 2)
# Items were completed with part of their texts.
UNFRAMED_SEED = 5002
STREAM_EVENTS = 3


@pytest.mark.parametrize('seed', CI_SEEDS)
def test_short_soak(seed: int, tmp_path: Path) -> None:
    """Guards against violations of guarantees under random faults."""
    assert anyio.run(run_seed, seed, tmp_path) == []


def test_short_soak_without_framing(tmp_path: Path) -> None:
    """Guards against partial answers where these end with a close."""
    run = functools.partial(run_seed, unframed=True)
    assert anyio.run(run, UNFRAMED_SEED, tmp_path) == []


def complete_attempt(request_id: str, route: str = 'again') -> Attempt:
    """Return an attempt with the complete response."""
    body = b''.join(event_of(request_id, number) for number in range(1, 4))
    return Attempt(request_id, route, 200, body, 'whole')


def history_of(*attempts: Attempt, runs: tuple[Run, ...] = ()) -> History:
    """Return a history with these attempts and runs."""
    return History(STREAM_EVENTS, attempts=list(attempts), runs=list(runs))


RUN = Run('r', 'e1', 1, 1.0)
OTHER_RUN = Run('r', 'e2', 1, 2.0)


def test_correct_history_passes() -> None:
    """Guards against checks that report a correct history."""
    assert not history_of(complete_attempt('r'), runs=(RUN, OTHER_RUN)).check()


@pytest.mark.parametrize(
    'attempt',
    [
        replace(complete_attempt('r'), body=complete_attempt('r').body[:-20]),
        replace(complete_attempt('r'), body=complete_attempt('s').body),
        replace(
            complete_attempt('r'), body=event_of('r', 1) + event_of('r', 3)
        ),
        replace(complete_attempt('r'), body=event_of('r', 2), ending='cut'),
        replace(
            complete_attempt('r'),
            body=event_of('r', 1),
            ending='cut',
            fault_free=True,
        ),
    ],
)
def test_wrong_responses_are_reported(attempt: Attempt) -> None:
    """Guards against missing a response that is cut, mixed or another's."""
    assert history_of(attempt).check()


def test_second_run_is_reported() -> None:
    """Guards against missing a non-idempotent request that ran twice."""
    assert history_of(
        complete_attempt('r', 'once'), runs=(RUN, OTHER_RUN)
    ).check()


def test_false_refusal_is_reported() -> None:
    """Guards against missing a refused request that ran nevertheless."""
    refused = Attempt('r', 'book', 503, b'', 'whole')
    assert history_of(refused, runs=(RUN,)).check()
    assert not history_of(refused).check()


def test_part_that_is_not_kept_away_is_reported() -> None:
    """Guards against missing endpoints that crash on and on."""
    history = History(STREAM_EVENTS, crashes_s=[float(n) for n in range(11)])
    assert not history.check()
    history.crashes_s.append(11.0)
    assert history.check()


def history_with_job(**changes: object) -> History:
    """Return a history with one completed job, after some changes to it."""
    job = JobHistory('j', ['j-0'], accepted=True, submits=1)
    job.results[0] = ('j-0', 'completed', expected_output('j-0', STREAM_EVENTS))
    for name, setting in changes.items():
        setattr(job, name, setting)
    runs = [Run('j-0', 'e1', 1, 100.0)]
    return History(STREAM_EVENTS, runs=runs, jobs=[job])


def test_completed_job_passes() -> None:
    """Guards against checks that report a completed job."""
    assert not history_with_job().check()


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
        {'cancelled_s': 10.0},
        {'accepted': False, 'refusals': 1},
        {'conflicts': ['position 0']},
    ],
)
def test_job_violations_are_reported(changes: dict[str, object]) -> None:
    """Guards against missing a violated guarantee of a job."""
    assert history_with_job(**changes).check()


def test_changed_result_is_reported() -> None:
    """Guards against missing a result that differs between two reads."""
    job = JobHistory('j', ['j-0'])
    job.record_result(0, ('j-0', 'completed', 'x'))
    job.record_result(0, ('j-0', 'completed', 'y'))
    assert job.conflicts
