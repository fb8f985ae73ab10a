"""Tests of batch runs whose endpoint stalls."""

from __future__ import annotations

from dataclasses import replace
from unittest import mock

import anyio
import pytest

from gateway_kit import FakeTime, make_dispatcher, make_endpoint, make_terms
from quetzaldyke.gateway.active_job import ActiveJob, ItemProgress
from quetzaldyke.gateway.batch_schedule import RunTimeEstimator
from quetzaldyke.gateway.exchange import (
    Exchange,
    ExchangeError,
    Failure,
    ResponseHead,
)
from quetzaldyke.gateway.http_client import HttpClient
from quetzaldyke.gateway.item_run import (
    ITEM_RETRY_DELAY_S,
    MAX_RETRY_DELAY_S,
    STALL_TIMEOUT_S,
    ItemRun,
    RunContext,
)
from quetzaldyke.gateway.job_records import ItemRecord, JobRecord

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


def make_run(time: FakeTime) -> ItemRun:
    """Return a run of one item at endpoint `e1`."""
    dispatcher = make_dispatcher(time, make_endpoint('e1'))
    endpoint = dispatcher.endpoints.usable('lm', time.now_s)[0]
    record = ItemRecord('i1', '/p/x', (), 10, 0, 0, 0)
    job = JobRecord('j1', 'r', 'h.example', 0, (record,))
    progress = ItemProgress(0, record)
    return ItemRun(
        RunContext(
            dispatcher,
            HttpClient(),
            mock.Mock(),
            RunTimeEstimator(),
            lambda job, progress, completed: None,
        ),
        ActiveJob(job, make_terms(), {0: progress}, {}),
        progress,
        dispatcher.acquire_on(endpoint, online=False),
        Exchange(),
    )


async def test_bytes_without_an_event_do_not_extend_a_run() -> None:
    """Guards against a stalled run that a byte now and then keeps for ever."""
    time = FakeTime()
    run = make_run(time)
    exchange = run.exchange
    expiries: list[float] = []

    async def feed() -> None:
        for chunk in (b'id: 1\n', b'data: a\n\n', b':', b':', b':'):
            time.now_s += 1.0
            exchange.chunks.append(chunk)
            exchange.wake()
            await anyio.sleep(0.001)
            expiries.append(exchange.expires_at_s)
        exchange.chunks.append(b'\n\n')
        exchange.complete = True
        exchange.wake()

    async with anyio.create_task_group() as group:
        group.start_soon(feed)
        await run.read_events()
    started_s = 100.0
    assert expiries[0] == started_s + STALL_TIMEOUT_S
    assert expiries[1:] == [started_s + 2.0 + STALL_TIMEOUT_S] * 4


# Guards against an endpoint that crashes before the first event of an answer
# without length or chunks: its item would be completed without any output.
async def test_run_without_an_event_is_broken() -> None:
    """Guards against an empty answer that counts as an item's whole output."""
    run = make_run(FakeTime())
    run.exchange.complete = True
    run.exchange.head = ResponseHead(200, [(b'response-signature', b'p')])
    with pytest.raises(ExchangeError) as raised:
        await run.read_events()
    assert raised.value.failure is Failure.BROKEN


# Guards against a sound item that is never placed again because several
# endpoints crashed while they ran it.
def test_item_is_placed_again_after_many_crashes() -> None:
    """Guards against giving up an item for crashes that it did not cause."""
    time = FakeTime()
    run = make_run(time)
    results = []
    run.context = replace(
        run.context, finish_item=lambda *result: results.append(result)
    )
    for _ in range(20):
        run.handle_interruption(ExchangeError(Failure.BROKEN))
        time.now_s += MAX_RETRY_DELAY_S
        run.progress.running = False
        assert run.job.waiting(time.now_s, RunTimeEstimator())
    assert not results


def test_item_without_progress_is_placed_less_often() -> None:
    """Guards against an item that crashes an endpoint several times a second.

    A run that made progress shows that the item is not at fault.
    """
    time = FakeTime()
    run = make_run(time)
    delays = []
    for _ in range(6):
        run.handle_interruption(ExchangeError(Failure.BROKEN))
        delays.append(run.progress.not_before_s - time.now_s)
    assert delays == sorted(delays)
    assert delays[-1] == pytest.approx(MAX_RETRY_DELAY_S)
    run.progress.splitter.last_id = 5
    run.handle_interruption(ExchangeError(Failure.BROKEN))
    delay_s = run.progress.not_before_s - time.now_s
    assert delay_s == pytest.approx(ITEM_RETRY_DELAY_S)


def test_item_preempted_before_its_first_event_waits() -> None:
    """Guards against a run that is placed on full engines over and over.

    It was cut because its slot was taken, and finds the same load at once.
    """
    time = FakeTime()
    run = make_run(time)
    run.handle_interruption(ExchangeError(Failure.CANCELLED))
    assert run.progress.not_before_s == time.now_s + ITEM_RETRY_DELAY_S


def test_item_preempted_after_an_event_may_start_at_once() -> None:
    """Guards against free slots that a preempted item leaves idle."""
    time = FakeTime()
    run = make_run(time)
    run.progress.splitter.last_id = 5
    run.handle_interruption(ExchangeError(Failure.CANCELLED))
    assert run.progress.not_before_s <= time.now_s
