"""Tests of answers without length that end before the request was received.

An endpoint may answer a long upload at once and close the connection, which
resets it: the end of the stream arrives first and the reset behind it, or
while the rest of the upload is still being written.
"""

from __future__ import annotations

from dataclasses import replace

import anyio
import pytest

from early_endpoint import EarlyEndpoint, early_endpoint
from gateway_kit import FakeTime, make_dispatcher, make_endpoint, make_route
from quetzaldyke.gateway.client_connection import MAX_UNREAD_BYTES
from quetzaldyke.gateway.crashes import CrashTracker
from quetzaldyke.gateway.exchange import Exchange, ExchangeError, Failure
from quetzaldyke.gateway.http_client import HttpClient, encode_request
from quetzaldyke.gateway.incomplete_response import IncompleteResponseError
from quetzaldyke.gateway.model import Route, RouteKind
from quetzaldyke.gateway.online_request import (
    Outcome,
    Progress,
    RelayContext,
)
from quetzaldyke.gateway.relay import relay
from quetzaldyke.parts.socket_state import END_CHECK_INTERVAL_S
from test_gateway_attempts import FakeCaller, make_request
from test_unframed_answers import RunHarness

pytestmark = pytest.mark.anyio

HEAD = (
    b'HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nResponse-Signature: s\r\n'
    b'Content-Type: text/plain\r\n\r\n'
)
PART = HEAD % b'i1' + b'part'
EVENT = b'id: 1\ndata: a\n\n'
# The first fits into the buffers of the operating system; the larger one does
# not, so that this process holds a part of it.
UPLOADS = [1_000_000, 12_000_000]


@pytest.fixture(params=[False, True], ids=['asyncio', 'uvloop'])
def anyio_backend(
    request: pytest.FixtureRequest,
) -> tuple[str, dict[str, object]]:
    """Run on both event loops: the programs use uvloop, most tests don't."""
    return 'asyncio', {'use_uvloop': request.param}


async def upload(endpoint: EarlyEndpoint, size: int) -> Exchange:
    """Send a request with a body of some bytes."""
    exchange = Exchange(b'attempt-id', b'i1')
    request = encode_request(b'POST', b'/', [(b'host', b'h')], bytes(size))
    await HttpClient().start('127.0.0.1', endpoint.port, request, exchange)
    return exchange


async def until_ended(exchange: Exchange) -> None:
    """Wait until the end of the answer's stream has been received."""
    await exchange.read_head()
    while not exchange.connection.closed:  # type: ignore[union-attr]
        await anyio.sleep(0.001)


async def failure_of(exchange: Exchange) -> Failure:
    """Return why the body of an answer is not whole."""
    with pytest.raises(ExchangeError) as raised:
        await exchange.read_body()
    return raised.value.failure


# Guards against a part of an answer that counts as whole because its endpoint
# reset the connection, whether or not the end of the stream came before.
@pytest.mark.parametrize('ending', [False, True], ids=['reset', 'end, reset'])
@pytest.mark.parametrize('size', [10, *UPLOADS])
async def test_answer_that_is_reset_is_not_complete(
    size: int, ending: bool
) -> None:
    """A reset breaks the answer at any point of the upload."""
    with anyio.fail_after(20):
        async with early_endpoint(
            PART, ending=ending, resetting=True
        ) as endpoint:
            exchange = await upload(endpoint, size)
            assert await failure_of(exchange) is Failure.BROKEN
    assert not exchange.complete


# Guards against a part of an answer that counts as whole because its endpoint
# closed the connection, which resets it, before the upload was received.
@pytest.mark.parametrize('size', UPLOADS)
async def test_reset_behind_the_end_breaks_the_answer(size: int) -> None:
    """An end before the whole request was received is no end yet."""
    with anyio.fail_after(20):
        async with early_endpoint(PART, ending=True) as endpoint:
            exchange = await upload(endpoint, size)
            await until_ended(exchange)
            assert not exchange.complete
            endpoint.reset()
            assert await failure_of(exchange) is Failure.BROKEN


# Guards against refusing a whole answer of an endpoint that ends it early and
# then reads the rest of the request.
@pytest.mark.parametrize('size', UPLOADS)
async def test_early_answer_is_whole_if_the_upload_is_received(
    size: int,
) -> None:
    """An answer counts from the receipt of the request on."""
    with anyio.fail_after(20):
        async with early_endpoint(PART, ending=True) as endpoint:
            exchange = await upload(endpoint, size)
            await until_ended(exchange)
            await endpoint.read_on(size)
            assert await exchange.read_body() == b'part'
            assert exchange.complete


# Guards against the same where the reader of the answer lags, so that reading
# from the connection has paused before the reset.
@pytest.mark.parametrize('ending', [False, True], ids=['reset', 'end, reset'])
@pytest.mark.parametrize('size', [10, *UPLOADS])
async def test_reset_while_reading_is_paused_breaks_the_answer(
    size: int, ending: bool
) -> None:
    """The reset is found once reading goes on."""
    answer = PART + bytes(2 * MAX_UNREAD_BYTES)
    with anyio.fail_after(20):
        async with early_endpoint(
            answer, ending=ending, resetting=True
        ) as endpoint:
            exchange = await upload(endpoint, size)
            await endpoint.answered.wait()
            await anyio.sleep(0.01)
            assert await failure_of(exchange) is Failure.BROKEN


async def test_end_without_receipt_can_be_given_up() -> None:
    """Guards against checks that go on after a timeout."""
    with anyio.fail_after(20):
        async with early_endpoint(PART, ending=True) as endpoint:
            exchange = await upload(endpoint, UPLOADS[0])
            await until_ended(exchange)
            exchange.cancel(Failure.STALLED)
            assert await failure_of(exchange) is Failure.STALLED
            # Longer than the interval of the checks.
            await anyio.sleep(2 * END_CHECK_INTERVAL_S)
    assert not exchange.complete


async def ask(
    answer: bytes, route: Route, caller: FakeCaller, progress: Progress
) -> Outcome:
    """Relay a long request to endpoints that end and reset their answers."""
    time = FakeTime()
    async with early_endpoint(answer, ending=True, resetting=True) as endpoint:
        port = endpoint.port
        dispatcher = make_dispatcher(
            time,
            *(replace(make_endpoint(name), port=port) for name in ('a', 'b')),
        )
        request = make_request(route, time.now_s)
        return await relay(
            RelayContext(
                dispatcher,
                HttpClient(),
                CrashTracker(),
                time.read,
                lambda *args, **fields: None,
            ),
            replace(request, body=bytes(UPLOADS[0])),
            caller,
            progress,
        )


# Guards against a caller that gets a part of an answer as its whole, and
# against a second run of a request that may run once.
@pytest.mark.parametrize(
    ('kind', 'attempts'), [('idempotent', 2), ('non_idempotent', 1)]
)
async def test_caller_gets_no_part_of_an_answer(
    kind: RouteKind, attempts: int
) -> None:
    """Two endpoints that break their answers lead to a 502."""
    route = make_route(kind, resumable=False)
    caller, progress = FakeCaller(), Progress()
    with anyio.fail_after(20):
        outcome = await ask(HEAD % b'r1' + b'part', route, caller, progress)
    assert (outcome.status, caller.status) == (502, 502)
    assert caller.body != b'part'
    assert progress.attempts == attempts


async def test_stream_that_is_reset_is_not_ended() -> None:
    """Guards against a stream that ends as if it were whole."""
    route = make_route('stream', resumable=False)
    caller = FakeCaller()
    with anyio.fail_after(20), pytest.raises(IncompleteResponseError):
        await ask(HEAD % b'r1' + EVENT, route, caller, Progress())
    assert (caller.body, caller.finished) == (EVENT, False)


# Guards against a batch result that is listed with a part of its text, and
# against such an end that counts as a statement of the endpoint.
async def test_item_that_is_reset_states_no_end() -> None:
    """The run is interrupted and keeps its event."""
    with anyio.fail_after(20):
        async with early_endpoint(
            HEAD % b'i1' + EVENT, ending=True, resetting=True
        ) as endpoint:
            harness = RunHarness.at(endpoint.port)
            await harness.run.run()
    progress = harness.run.progress
    assert harness.results == []
    assert (progress.interruptions, progress.ends.endpoints) == (1, [])
    assert progress.outputs == [b'a']
