"""Tests of the memory that endpoints and callers can fill together."""

from __future__ import annotations

import asyncio
from collections.abc import MutableMapping
from contextlib import AsyncExitStack
from dataclasses import replace
from typing import Any

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gateway_kit import FakeStore, make_endpoint, make_route
from quetzaldyke.gateway.exchange import Exchange, ExchangeError
from quetzaldyke.gateway.http_client import HttpClient, encode_request
from quetzaldyke.gateway.ingress import Ingress
from quetzaldyke.parts.byte_budget import ByteBudget
from raw_endpoint import raw_endpoint
from runner_kit import RunnerHarness
from test_broken_streams import make_ingress
from test_unframed_answers import RunHarness

pytestmark = pytest.mark.anyio
LIMIT_BYTES = 2_000_000
# What one read may add beyond the limit.
SLACK_BYTES = 300_000
NAMED = b'Attempt-Id: r\r\nResponse-Signature: s\r\n'
HEADS = {
    'unframed': b'HTTP/1.1 200 OK\r\n' + NAMED + b'\r\n',
    'length': (
        b'HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n'
        + NAMED
        + b'\r\n'
    ),
    'error': b'HTTP/1.1 500 Failed\r\n' + NAMED + b'\r\n',
}


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


async def endless(head: bytes, stack: AsyncExitStack) -> int:
    """Run an endpoint that sends a head and bytes without end."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(head)
        try:
            while True:
                writer.write(b'x' * 65_536)
                await writer.drain()
                await asyncio.sleep(0)
        except ConnectionError:
            writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    stack.callback(server.close)
    return int(server.sockets[0].getsockname()[1])


async def read_answer(client: HttpClient, port: int) -> bytes:
    """Return the body of an answer that counts against the budget."""
    exchange = Exchange(b'attempt-id', b'r')
    exchange.count_bytes(client.answers)
    try:
        request = encode_request(b'GET', b'/', [(b'host', b'h')], b'')
        await client.start('127.0.0.1', port, request, exchange)
        await exchange.read_head()
        return await exchange.read_body()
    finally:
        exchange.cancel()


# Guards against a process that runs out of memory, and takes the requests of
# all callers with it, because each of many answers is below its own limit.
@pytest.mark.parametrize('head', HEADS.values(), ids=HEADS)
async def test_endless_answers_share_one_bound(head: bytes) -> None:
    """All endless answers fail, and a sound one beside them is delivered."""
    client = HttpClient(answers=ByteBudget(LIMIT_BYTES))
    failed = []
    most = 0
    sound = HEADS['length'].replace(b'1000000000000', b'20000')
    async with AsyncExitStack() as stack:
        port = await endless(head, stack)
        endpoint = await stack.enter_async_context(
            raw_endpoint(lambda *_: sound + b'y' * 20_000)
        )

        async def read() -> None:
            nonlocal most
            try:
                await read_answer(client, port)
            except ExchangeError as exc:
                failed.append(str(exc))
            most = max(most, client.answers.used)

        with anyio.fail_after(60):
            async with anyio.create_task_group() as group:
                for _ in range(20):
                    group.start_soon(read)
                for _ in range(20):
                    body = await read_answer(client, endpoint.port)
                    assert body == b'y' * 20_000
                    most = max(most, client.answers.used)
                    await anyio.sleep(0.005)
    assert len(failed) == 20
    assert all('malformed' in text for text in failed)
    assert most <= LIMIT_BYTES + SLACK_BYTES
    assert client.answers.used == 0
    assert not client.answers.holdings


async def test_evicted_answer_is_never_whole() -> None:
    """Guards against a body that is cut by this process and delivered."""
    client = HttpClient(answers=ByteBudget(50))
    async with raw_endpoint(
        lambda *_: HEADS['length'].replace(b'1000000000000', b'60') + b'z' * 60
    ) as endpoint:
        with pytest.raises(ExchangeError):
            await read_answer(client, endpoint.port)
    assert client.answers.used == 0


# Guards against items whose endpoints send sound events without end and fill
# the memory of the entry.
async def test_endless_item_starts_over() -> None:
    """The run fails at the size that can be listed, and holds nothing."""
    event = b'id: %d\ndata: ' + b'e' * 1000 + b'\n\n'
    head = HEADS['unframed'].replace(b'Attempt-Id: r', b'Attempt-Id: i1')
    answer = head + b''.join(event % number for number in range(1, 1000))
    async with raw_endpoint(lambda *_: answer, closing=True) as endpoint:
        harness = RunHarness.at(endpoint.port)
        progress = harness.run.progress
        budget = ByteBudget(10_000_000)
        progress.count_bytes(budget)
        harness.run.context = replace(
            harness.run.context, max_output_bytes=50_000
        )
        with anyio.fail_after(5):
            await harness.run.run()
    assert not harness.results
    assert (progress.outputs, progress.events_done) == ([], 0)
    assert (progress.interruptions, progress.failed_at) == (
        1,
        frozenset(('e1',)),
    )
    assert budget.used == 0


async def test_items_share_one_bound() -> None:
    """Guards against many items that are each below their own limit."""
    event = b'id: %d\ndata: ' + b'e' * 1000 + b'\n\n'
    head = HEADS['unframed'].replace(b'Attempt-Id: r', b'Attempt-Id: i1')
    answer = head + b''.join(event % number for number in range(1, 200))
    budget = ByteBudget(300_000)
    async with raw_endpoint(lambda *_: answer, closing=True) as endpoint:
        for _ in range(4):
            harness = RunHarness.at(endpoint.port)
            progress = harness.run.progress
            progress.count_bytes(budget)
            await harness.run.run()
            assert budget.used <= 300_000
    assert budget.evictions >= 1


async def test_item_can_be_given_up_between_its_runs() -> None:
    """Guards against outputs of waiting items that hold the memory."""
    harness = RunHarness.at(1)
    progress = harness.run.progress
    budget = ByteBudget(100)
    progress.count_bytes(budget)
    progress.splitter.last_id = 3
    progress.add_outputs([b'x' * 60])
    assert (progress.outputs, progress.events_done) == ([], 0)
    progress.add_outputs([b'x' * 10])
    assert budget.used == 10 + 1 + 48


async def test_dropped_job_holds_no_memory() -> None:
    """Guards against bytes of cancelled runs that count for ever."""
    async with anyio.create_task_group() as group:
        harness = await RunnerHarness.with_job(FakeStore(), group, 2)
        progress = harness.job.items[0]
        progress.add_outputs([b'x' * 100])
        harness.runner.deactivate('j', 'ended')
        progress.add_outputs([b'x' * 100])
        assert harness.runner.outputs.used == 0
        assert not harness.runner.outputs.holdings
        group.cancel_scope.cancel()


async def test_no_item_starts_while_results_fill_the_memory() -> None:
    """Guards against results that wait for the store without a bound."""
    async with anyio.create_task_group() as group:
        harness = await RunnerHarness.with_job(FakeStore(), group, 3)
        runner = harness.runner
        runner.outputs.limit_bytes = 100_000
        started: list[int] = []
        runner.starter.start_run = lambda job, progress, _: started.append(
            progress.item
        )
        runner.dispatcher.endpoints.put(make_endpoint('e1'))
        runner.peers_known = True
        harness.job.items[0].add_outputs([b'x' * 90_000])
        runner.finish_item(harness.job, harness.job.items[0], True)
        runner.schedule()
        assert not started
        await runner.results.append(harness.job)
        assert runner.outputs.used == 0
        runner.schedule()
        assert started == [1, 2]
        group.cancel_scope.cancel()


async def test_callers_bodies_share_one_bound() -> None:
    """Guards against many callers that each send a body below the limit."""
    ingress = make_ingress(make_route(), 1)
    ingress.bodies.limit_bytes = 1_000_000
    answers: list[int] = []
    most = 0

    async def send_body(ingress: Ingress, size: int) -> None:
        left = [b'b' * 10_000] * (size // 10_000)

        async def receive() -> dict[str, Any]:
            nonlocal most
            await anyio.sleep(0.001)
            most = max(most, ingress.bodies.used)
            if left:
                return {
                    'type': 'http.request',
                    'body': left.pop(),
                    'more_body': True,
                }
            await anyio.sleep(0.2)
            return {'type': 'http.request', 'body': b''}

        async def send(message: MutableMapping[str, Any]) -> None:
            if message['type'] == 'http.response.start':
                answers.append(int(str(message['status'])))

        scope = {
            'type': 'http',
            'method': 'POST',
            'raw_path': b'/nowhere',
            'query_string': b'',
            'headers': [(b'host', b'h.example')],
        }
        await ingress(scope, receive, send)

    with anyio.fail_after(20):
        async with anyio.create_task_group() as group:
            for _ in range(10):
                group.start_soon(send_body, ingress, 300_000)
            group.start_soon(send_body, ingress, 10_000)
    assert most <= 1_010_000
    assert answers.count(503) >= 7
    # The small body and those that fit are read and find no route.
    assert answers.count(404) + answers.count(503) == 11
    assert answers.count(404) >= 1
    assert ingress.bodies.used == 0


@given(
    st.lists(st.tuples(st.integers(0, 4), st.integers(-60, 60)), max_size=40)
)
def test_budget_counts_what_is_held(steps: list[tuple[int, int]]) -> None:
    """Guards against bytes that are counted twice, or for ever."""
    budget = ByteBudget(100)
    holdings = [budget.hold(lambda: None) for _ in range(5)]
    for number, count in steps:
        if count >= 0:
            holdings[number].grow(count)
        else:
            holdings[number].shrink(-count)
        assert budget.used == sum(one.size for one in holdings)
        assert budget.used <= 100 or not budget.holdings
    for one in holdings:
        one.release()
        one.release()
    assert budget.used == 0
