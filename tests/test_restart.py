"""Tests of the first seconds of an entry, and of a whole fleet."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass, field

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok, Result

from gateway_kit import FakeStore, Node, make_route
from quetzaldyke.connection.caller_connection import silence_s
from quetzaldyke.connection.listener import listen
from quetzaldyke.gateway.authentication import Identity
from quetzaldyke.gateway.job_api import JobApi
from quetzaldyke.gateway.job_records import JOB_PREFIX
from quetzaldyke.gateway.loading import Loading
from quetzaldyke.gateway.received_request import AsgiCaller, ReceivedRequest
from quetzaldyke.gateway.restart import (
    BACKLOG_WINDOW_S,
    MAX_BACKLOG_S,
    MAX_BATCH_DELAY_S,
    MAX_LOADING_S,
    MIN_BATCH_DELAY_S,
    WAIT_SHARE,
    StartPolicy,
)
from quetzaldyke.platform import names
from quetzaldyke.process.metrics import Metrics

pytestmark = pytest.mark.anyio
START_S = 100.0
POLICY = StartPolicy(START_S)
TIMES = st.floats(0.0, 20.0)


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


@given(TIMES, st.none() | TIMES)
def test_callers_wait_only_while_they_can_be_on_time(
    age_s: float, remaining_s: float | None
) -> None:
    """Guards against callers held past their time, or in an outage."""
    wait_s = POLICY.loading_wait_s(START_S + age_s, remaining_s)
    assert 0.0 <= wait_s <= MAX_LOADING_S
    if age_s > MAX_LOADING_S:
        assert not wait_s
    elif remaining_s is not None:
        assert wait_s <= remaining_s * WAIT_SHARE


def test_wait_in_the_backlog_counts_only_after_the_start() -> None:
    """Guards against a paused process that finds all requests too old."""
    assert POLICY.backlog_s(START_S + 0.1, 1.7) == 1.7
    assert not POLICY.backlog_s(START_S + BACKLOG_WINDOW_S + 0.1, 1.7)
    assert not POLICY.backlog_s(START_S + 0.1, MAX_BACKLOG_S + 1)


@given(TIMES, st.integers(0, 9))
def test_batch_waits_for_online_callers_but_not_for_ever(
    open_s: float, waiting: int
) -> None:
    """Guards against takeovers that delay callers, and jobs without owner."""
    begins = POLICY.may_begin_batch(START_S + open_s, START_S, waiting)
    if open_s < MIN_BATCH_DELAY_S:
        assert not begins
    elif open_s <= MAX_BATCH_DELAY_S - 0.01:
        assert begins == (not waiting)
    elif open_s >= MAX_BATCH_DELAY_S + 0.01:
        assert begins


def request_with(*headers: tuple[bytes, bytes]) -> ReceivedRequest:
    """Return a request with some headers."""
    return ReceivedRequest(b'POST', b'/', '/', b'', 'h', list(headers), b'')


@dataclass(slots=True)
class LoadingHarness:
    """What a starting entry loads; its clock stands still."""

    now_s: float = START_S
    synced: anyio.Event = field(default_factory=anyio.Event)
    metrics: Metrics = field(default_factory=Metrics)

    def loading(self) -> Loading:
        """Return the wait of the callers."""
        return Loading(POLICY, self.synced, lambda: self.now_s, self.metrics)


async def test_caller_goes_on_when_all_is_loaded() -> None:
    """Guards against callers refused just before the configuration is read."""
    harness = LoadingHarness()
    async with anyio.create_task_group() as group:
        group.start_soon(harness.loading().wait, request_with())
        await anyio.wait_all_tasks_blocked()
        harness.synced.set()
    rendered = harness.metrics.render()
    assert 'requests_waited_for_start_total{loaded="true"} 1' in rendered


@pytest.mark.parametrize('headers', [(), ((names.DEADLINE, b'0'),)])
async def test_caller_without_time_does_not_wait(
    headers: tuple[tuple[bytes, bytes], ...],
) -> None:
    """Guards against callers held for a store that is away."""
    harness = LoadingHarness()
    if not headers:
        harness.now_s += MAX_LOADING_S
    await harness.loading().wait(request_with(*headers))
    rendered = harness.metrics.render()
    assert 'requests_waited_for_start_total{loaded="false"} 1' in rendered


async def test_time_in_the_backlog_is_known() -> None:
    """Guards against requests that look new after a wait for the start."""
    with listen('127.0.0.1:0') as listener:
        with socket.create_connection(listener.getsockname()) as caller:
            caller.sendall(b'x')
            await asyncio.sleep(0.05)
            accepted, _ = listener.accept()
            with accepted:
                assert silence_s(accepted) >= 0.04
    assert not silence_s(accepted)
    assert not silence_s(None)


@dataclass(slots=True)
class JobApiHarness:
    """The job API of an entry, and the statuses that it answers."""

    node: Node
    statuses: list[int] = field(default_factory=list)

    async def send(self, message: dict[str, object]) -> None:
        """Note the status of an answer."""
        if message['type'] == 'http.response.start':
            assert isinstance(message['status'], int)
            self.statuses.append(message['status'])

    async def submit(self) -> Result[bool, int]:
        """Submit a job of one item; return whether it is in the store."""
        api = JobApi(
            self.node.store,
            run_accepted=lambda job: None,
            tell_ended=lambda job_id: None,
            store_up=lambda: True,
            version=lambda: 1,
        )
        request = ReceivedRequest(
            b'POST',
            b'/p/x',
            '/p/x',
            b'',
            'h',
            [(names.ATTEMPT_ID, b'j')],
            b'{"items": [{"id": "i", "path": "/p/x", "tokens": 9}]}',
        )
        caller = AsgiCaller(self.send, closing=False)  # type: ignore[arg-type]
        route = make_route('batch', cap=100)
        await api.submit(request, route, Identity(None), caller)
        stored = await self.node.store.store.get(f'{JOB_PREFIX}j')
        return Ok(True) if stored != Ok(None) else Err(self.statuses[-1])


async def test_no_job_is_accepted_before_all_jobs_are_known() -> None:
    """Guards against a quota that a starting entry takes for unused."""
    store = FakeStore()
    harness = JobApiHarness(Node.of(store, 'a'))
    assert await harness.submit() == Err(503)
    store.state.put('op/config', b'1', 0)
    await harness.node.sync()
    assert await harness.submit() == Ok(True)
