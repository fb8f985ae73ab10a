"""Tests of what counts as a failed attempt of a batch item."""

from __future__ import annotations

import anyio
import pytest

from raw_endpoint import raw_endpoint
from test_unframed_answers import RunHarness

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


async def run_at_answer(head: bytes) -> RunHarness:
    """Run an item at an endpoint that sends one head and no body."""
    answer = (
        b'HTTP/1.1 ' + head + b'\r\nAttempt-Id: i1\r\nContent-Length: 0\r\n\r\n'
    )
    async with raw_endpoint(lambda *_: answer) as endpoint:
        harness = RunHarness.at(endpoint.port)
        with anyio.fail_after(5):
            await harness.run.run()
    return harness


# Guards against an item that is given up although no endpoint has said that it
# can't be run or that it failed.
@pytest.mark.parametrize(
    'head',
    [
        b'200 OK',
        b'204 No Content',
        b'302 Found',
        b'404 Not Found',
        b'429 Too Many Requests',
        b'502 Bad Gateway',
        b'503 Service Unavailable',
        b'504 Gateway Timeout',
    ],
)
async def test_only_a_server_error_is_a_failed_attempt(head: bytes) -> None:
    """Another answer interrupts the item, which is still owed."""
    harness = await run_at_answer(head)
    progress = harness.run.progress
    assert harness.results == []
    assert (progress.failures, progress.failed_at) == (0, frozenset())
    assert progress.interruptions == 1
    assert progress.not_before_s > harness.run.context.dispatcher.clock.now()


async def test_server_error_is_a_failed_attempt() -> None:
    """Guards against an item that fails at each run and is never given up."""
    harness = await run_at_answer(b'500 Internal Server Error')
    assert harness.run.progress.failures == 1
    assert harness.run.progress.interruptions == 0


async def test_refusal_is_neither_failure_nor_interruption() -> None:
    """Guards against giving up an item that no endpoint has run."""
    harness = await run_at_answer(b'503 Full\r\nNot-Executed: 1')
    assert harness.run.progress.failures == 0
    assert harness.run.progress.interruptions == 0
