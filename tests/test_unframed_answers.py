"""Tests of answers that end with their connection.

An answer without length or chunks ends when the endpoint closes the
connection. A close by this process, or a reset, must not look like that end.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from unittest import mock

import anyio
import pytest

from gateway_kit import FakeTime, make_dispatcher, make_endpoint, make_terms
from quetzaldyke.gateway.active_job import ActiveJob, ItemProgress
from quetzaldyke.gateway.batch_schedule import RunTimeEstimator
from quetzaldyke.gateway.client_connection import Connection
from quetzaldyke.gateway.exchange import Exchange, ExchangeError, Failure
from quetzaldyke.gateway.http_client import (
    ConnectionPool,
    HttpClient,
    encode_request,
)
from quetzaldyke.gateway.item_run import ItemRun, RunContext
from quetzaldyke.gateway.job_records import ItemRecord, JobRecord
from quetzaldyke.gateway.preemption import Preemption
from raw_endpoint import raw_endpoint

pytestmark = pytest.mark.anyio

UNFRAMED = b'HTTP/1.1 200 OK\r\nAttempt-Id: i1\r\nResponse-Signature: s\r\n\r\n'
FIRST_EVENT = b'id: 1\ndata: a\n\n'
# On, with a linger time of 0 s: a close then resets the connection.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
SECOND_EVENT = b'id: 2\ndata: b\n\n'


@pytest.fixture(params=[False, True], ids=['asyncio', 'uvloop'])
def anyio_backend(
    request: pytest.FixtureRequest,
) -> tuple[str, dict[str, object]]:
    """Run on both event loops: the programs use uvloop, most tests don't."""
    return 'asyncio', {'use_uvloop': request.param}


@dataclass(slots=True)
class UnframedEndpoint:
    """An endpoint that answers each request with the same first bytes.

    The connection stays open until `close` or `reset` is called.
    """

    answer: bytes
    port: int = 0
    writers: list[asyncio.StreamWriter] = field(default_factory=list)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request and keep the connection."""
        self.writers.append(writer)
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self.answer)
        await writer.drain()

    def close(self) -> None:
        """Close the connections, as at the end of a whole answer."""
        for writer in self.writers:
            writer.close()

    def reset(self) -> None:
        """Reset the connections, as a crash does."""
        for writer in self.writers:
            connected = writer.get_extra_info('socket')
            connected.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            writer.transport.abort()


@asynccontextmanager
async def unframed_endpoint(answer: bytes) -> AsyncIterator[UnframedEndpoint]:
    """Run an endpoint that sends an answer and does not end it."""
    endpoint = UnframedEndpoint(answer)
    server = await asyncio.start_server(endpoint.serve, '127.0.0.1', 0)
    endpoint.port = server.sockets[0].getsockname()[1]
    try:
        yield endpoint
    finally:
        endpoint.close()
        server.close()


@dataclass(slots=True)
class RunHarness:
    """A run of an item at an endpoint, and the results that it had."""

    run: ItemRun
    results: list[bool] = field(default_factory=list)

    @classmethod
    def at(cls, port: int) -> RunHarness:
        """Return a run of item `i1`, whose body is in memory."""
        time = FakeTime()
        endpoint = replace(make_endpoint('e1'), host='127.0.0.1', port=port)
        dispatcher = make_dispatcher(time, endpoint)
        record = ItemRecord('i1', '/p/x', (), 10, 0, 0, 2)
        job = JobRecord('j1', 'r', 'h.example', 0, (record,))
        progress = ItemProgress(0, record)
        progress.exchange = Exchange(b'attempt-id', b'i1')
        progress.endpoint_id = 'e1'
        progress.running = True
        harness = cls(
            ItemRun(
                RunContext(
                    dispatcher,
                    HttpClient(),
                    # The body is in memory, so the store is not called.
                    None,  # type: ignore[arg-type]
                    RunTimeEstimator(),
                    lambda job, progress, completed: harness.results.append(
                        completed
                    ),
                ),
                ActiveJob(job, make_terms(), {0: progress}, {0: b'{}'}),
                progress,
                dispatcher.acquire_on(endpoint, online=False),
                progress.exchange,
            )
        )
        return harness

    async def until_event(self, number: int) -> None:
        """Wait until an event of the run has been received."""
        with anyio.fail_after(5):
            while self.run.progress.events_done < number:
                await anyio.sleep(0.001)

    def preempt(self) -> None:
        """Preempt the run for an online request."""
        run = self.run
        preemption = Preemption(
            'own',
            {run.job.record.job_id: run.job},
            run.context.dispatcher.loads,
            run.context.dispatcher.endpoints,
        )
        assert preemption.preempt('e1', 'own_request')


# Guards against a batch result that is listed as completed with part of its
# text, because its run was preempted between two events of an unframed answer.
async def test_item_preempted_between_events_is_not_completed() -> None:
    """A preempted run keeps its events and the item is still owed."""
    async with unframed_endpoint(UNFRAMED + FIRST_EVENT) as endpoint:
        harness = RunHarness.at(endpoint.port)
        async with anyio.create_task_group() as group:
            group.start_soon(harness.run.run)
            await harness.until_event(1)
            harness.preempt()
    assert harness.results == []
    assert harness.run.progress.outputs == [b'a']
    assert harness.run.progress.interruptions == 0


# Guards against completing an item whose endpoint hangs between two events.
async def test_item_stalled_between_events_is_not_completed() -> None:
    """A run that stalls is interrupted, and the item is still owed."""
    async with unframed_endpoint(UNFRAMED + FIRST_EVENT) as endpoint:
        harness = RunHarness.at(endpoint.port)
        async with anyio.create_task_group() as group:
            group.start_soon(harness.run.run)
            await harness.until_event(1)
            harness.run.exchange.check_timeout(
                harness.run.exchange.expires_at_s + 1
            )
    assert harness.results == []
    assert harness.run.progress.interruptions == 1


# Guards against completing an item whose endpoint crashed between two events.
async def test_item_reset_between_events_is_not_completed() -> None:
    """A reset is no end of an answer."""
    async with unframed_endpoint(UNFRAMED + FIRST_EVENT) as endpoint:
        harness = RunHarness.at(endpoint.port)
        async with anyio.create_task_group() as group:
            group.start_soon(harness.run.run)
            await harness.until_event(1)
            endpoint.reset()
    assert harness.results == []


# Guards against runs that are never completed because the peer's close is
# taken for a broken connection, and against an item that a close between two
# events completes (see test_answer_ends.py).
async def test_close_by_the_endpoint_states_the_end_of_an_item() -> None:
    """A clean close ends the run and is a statement, but no proof."""
    answer = UNFRAMED + FIRST_EVENT + SECOND_EVENT
    async with unframed_endpoint(answer) as endpoint:
        harness = RunHarness.at(endpoint.port)
        async with anyio.create_task_group() as group:
            group.start_soon(harness.run.run)
            await harness.until_event(2)
            endpoint.close()
    assert harness.results == []
    progress = harness.run.progress
    assert progress.outputs == [b'a', b'b']
    assert (progress.interruptions, progress.ends.endpoints) == (0, ['e1'])


# Guards against an item that is resumed for ever after its last event, because
# an empty answer that ends with its connection never shows that it is whole.
async def test_item_starts_over_after_an_empty_resumption() -> None:
    """The next run asks for all events, whose end can be told."""
    async with unframed_endpoint(UNFRAMED) as endpoint:
        harness = RunHarness.at(endpoint.port)
        progress = harness.run.progress
        progress.splitter.feed(FIRST_EVENT + SECOND_EVENT)
        progress.outputs = [b'a', b'b']
        harness.run.events_before = 2
        async with anyio.create_task_group() as group:
            group.start_soon(harness.run.run)
            with anyio.fail_after(5):
                while harness.run.exchange.head is None:
                    await anyio.sleep(0.001)
            endpoint.close()
    assert harness.results == []
    assert (progress.events_done, progress.outputs) == (0, [])
    assert progress.interruptions == 1


# Guards against an online answer that this process gave up, and that its
# reader then takes for whole.
@pytest.mark.parametrize('failure', [Failure.CANCELLED, Failure.STALLED])
async def test_cancelled_answer_is_not_complete(failure: Failure) -> None:
    """A reader of an answer that was given up gets the failure."""
    async with unframed_endpoint(UNFRAMED + b'part') as endpoint:
        exchange = Exchange(b'attempt-id', b'i1')
        request = encode_request(b'GET', b'/', [(b'host', b'h')], b'')
        await HttpClient().start('127.0.0.1', endpoint.port, request, exchange)
        await exchange.read_head()
        raised: list[ExchangeError] = []

        async def read() -> None:
            try:
                await exchange.read_body()
            except ExchangeError as exc:
                raised.append(exc)

        async with anyio.create_task_group() as group:
            group.start_soon(read)
            await anyio.sleep(0.01)
            exchange.cancel(failure)
    assert [exc.failure for exc in raised] == [failure]
    assert not exchange.complete


# The next tests guard against an answer that this process ended and that
# counts as whole; each checks one of the barriers without the others.
async def test_failed_answer_never_becomes_complete() -> None:
    """An end that is reported after the failure changes nothing."""
    exchange = Exchange()
    exchange.fail(Failure.CANCELLED)
    exchange.finish()
    assert not exchange.complete


async def test_failure_is_recorded_before_the_abort() -> None:
    """Whoever reacts to the close finds the failure."""
    exchange = Exchange()
    connection = mock.Mock()
    seen: list[Failure | None] = []
    connection.abort.side_effect = lambda: seen.append(exchange.failure)
    exchange.connection = connection
    exchange.cancel()
    assert seen == [Failure.CANCELLED]


async def test_aborted_connection_has_no_exchange() -> None:
    """A close that is reported later reaches no exchange."""
    connection, exchange = unframed_connection()
    connection.abort()
    connection.eof_received()
    connection.connection_lost(None)
    assert not exchange.complete


async def test_close_without_the_end_of_the_peer_is_a_failure() -> None:
    """A close without error that the peer did not cause ends no answer."""
    connection, exchange = unframed_connection()
    connection.connection_lost(None)
    assert (exchange.complete, exchange.failure) == (False, Failure.BROKEN)


def unframed_connection() -> tuple[Connection, Exchange]:
    """Return a connection that has received part of an unframed answer."""
    connection = Connection(lambda idle: None)
    connection.connection_made(mock.Mock())
    exchange = Exchange(b'attempt-id', b'i1')
    connection.send(exchange, b'')
    connection.data_received(UNFRAMED + FIRST_EVENT)
    assert exchange.head is not None
    return connection, exchange


async def test_request_given_up_before_it_is_sent_is_not_sent() -> None:
    """Guards against runs of items that were preempted during the connect."""
    client = HttpClient()
    exchange = Exchange(b'attempt-id', b'i1')
    async with raw_endpoint(lambda *_: UNFRAMED) as endpoint:
        pool = client.pool('127.0.0.1', endpoint.port)
        connect = client.connect

        async def cancelled_connect(
            known: ConnectionPool, timeout_s: float = 1.0
        ) -> Connection:
            exchange.cancel()
            return await connect(known, timeout_s)

        with (
            mock.patch.object(
                HttpClient, 'connect', new=staticmethod(cancelled_connect)
            ),
            pytest.raises(ExchangeError) as raised,
        ):
            await client.start('127.0.0.1', endpoint.port, b'', exchange)
        assert raised.value.failure is Failure.CANCELLED
        assert exchange.connection is None
        assert pool.idle
