"""Tests of attempts: timeouts, errors, retries and endpoint ejection."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from unittest import mock

import anyio
import pytest

from gateway_kit import FakeTime, make_dispatcher, make_endpoint, make_route
from quetzaldyke.gateway.attempt import Attempt
from quetzaldyke.gateway.crashes import CrashTracker
from quetzaldyke.gateway.dispatcher import Dispatcher
from quetzaldyke.gateway.exchange import (
    Exchange,
    ExchangeError,
    Failure,
    ResponseHead,
)
from quetzaldyke.gateway.http_client import HttpClient
from quetzaldyke.gateway.model import Route, RouteKind
from quetzaldyke.gateway.online_request import (
    Headers,
    OnlineRequest,
    Progress,
    RelayContext,
)
from quetzaldyke.gateway.relay import relay
from quetzaldyke.gateway.retries import final_failure
from quetzaldyke.gateway.stalls import QUEUED_TIMEOUT_S, extended_deadline_s

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


@dataclass(slots=True)
class FakeCaller:
    """Records the response that a caller receives."""

    status: int = 0
    headers: Headers = field(default_factory=list)
    body: bytes = b''
    finished: bool = False

    async def start(self, status: int, headers: Headers) -> None:
        """Record status and headers."""
        self.status = status
        self.headers = headers

    async def send(self, chunk: bytes) -> None:
        """Append a chunk to the body."""
        self.body += chunk

    async def finish(self) -> None:
        """Record the end of the response."""
        self.finished = True


@dataclass(slots=True)
class AttemptHarness:
    """An attempt at endpoint `e1` with a fake clock and dispatcher."""

    time: FakeTime
    dispatcher: Dispatcher
    attempt: Attempt

    @classmethod
    def of(cls, route: Route) -> AttemptHarness:
        """Return an attempt that has not been sent."""
        time = FakeTime()
        dispatcher = make_dispatcher(time, make_endpoint('e1'))
        reservation = dispatcher.try_acquire('lm')
        assert reservation is not None
        context = RelayContext(
            dispatcher,
            HttpClient(),
            CrashTracker(),
            time.read,
            lambda *args, **fields: None,
        )
        attempt = Attempt(
            context,
            make_request(route, time.now_s),
            FakeCaller(),
            Progress(),
            reservation,
            Exchange(),
        )
        return cls(time, dispatcher, attempt)

    def ejected(self) -> bool:
        """Tell whether the endpoint was ejected."""
        tracked = self.dispatcher.endpoints.by_id['e1']
        return tracked.ejected_until_s > self.time.now_s


def make_request(route: Route, now_s: float) -> OnlineRequest:
    """Return a request that has just arrived."""
    return OnlineRequest(
        b'r1',
        b'POST',
        b'/p/x',
        [(b'host', b'h.example'), (b'attempt-id', b'r1')],
        b'body',
        route,
        'lm',
        now_s,
        now_s + route.timeout_s,
        None,
    )


async def test_request_timeout_does_not_eject_the_endpoint() -> None:
    """Guards against ejecting endpoints for requests with short deadlines."""
    harness = AttemptHarness.of(make_route('idempotent'))
    harness.attempt.progress.attempts = 2
    await harness.attempt.handle_error_response(ResponseHead(504, []), b'')
    assert not harness.ejected()


async def test_server_error_ejects_the_endpoint() -> None:
    """Guards against failing endpoints that keep their share of requests."""
    harness = AttemptHarness.of(make_route('idempotent'))
    harness.attempt.progress.attempts = 2
    await harness.attempt.handle_error_response(ResponseHead(500, []), b'')
    assert harness.ejected()


# Guards against a caller that is told "not run, try again" by an error that
# does not say so, for a request that the endpoint may have run.
@pytest.mark.parametrize('kind', ['idempotent', 'non_idempotent'])
@pytest.mark.parametrize('status', [408, 429, 503])
async def test_error_without_the_promise_is_no_refusal(
    kind: RouteKind, status: int
) -> None:
    """The caller gets 502, which promises nothing, and nothing of the error."""
    harness = AttemptHarness.of(make_route(kind, resumable=False))
    harness.attempt.progress.attempts = 2
    head = ResponseHead(
        status, [(b'retry-after', b'1'), (b'response-signature', b's')]
    )
    outcome = await harness.attempt.handle_error_response(head, b'text')
    assert outcome is not None
    caller = harness.attempt.caller
    assert isinstance(caller, FakeCaller)
    assert (outcome.status, caller.status, caller.body) == (502, 502, b'')
    assert caller.headers == [(b'content-length', b'0')]


@pytest.mark.parametrize('status', [400, 404, 500, 502, 504])
async def test_error_that_promises_nothing_is_forwarded(status: int) -> None:
    """Guards against replacing the errors of an endpoint."""
    harness = AttemptHarness.of(make_route('non_idempotent', resumable=False))
    harness.attempt.progress.attempts = 1
    head = ResponseHead(status, [(b'response-signature', b's')])
    await harness.attempt.handle_error_response(head, b'text')
    caller = harness.attempt.caller
    assert isinstance(caller, FakeCaller)
    assert (caller.status, caller.body) == (status, b'text')


def test_busy_endpoint_is_not_ejected() -> None:
    """Guards against a burst of requests that ejects every busy engine."""
    harness = AttemptHarness.of(make_route())
    harness.time.now_s += 0.2
    harness.dispatcher.endpoints.note_bytes('e1', harness.time.now_s - 0.05)
    harness.attempt.note_failure(ExchangeError(Failure.STALLED))
    assert not harness.ejected()


def test_one_lost_response_does_not_eject_a_serving_endpoint() -> None:
    """Guards against ejecting a whole engine for one connection reset."""
    harness = AttemptHarness.of(make_route())
    harness.dispatcher.endpoints.note_bytes('e1', harness.time.now_s - 0.05)
    harness.attempt.note_failure(ExchangeError(Failure.BROKEN))
    assert not harness.ejected()


def test_many_lost_responses_eject_a_serving_endpoint() -> None:
    """Guards against keeping endpoints that lose many of their responses."""
    harness = AttemptHarness.of(make_route())
    for _ in range(5):
        harness.dispatcher.endpoints.note_bytes('e1', harness.time.now_s)
        harness.attempt.note_failure(ExchangeError(Failure.BROKEN))
    assert harness.ejected()


def test_unresponsive_endpoint_is_ejected() -> None:
    """Guards against an unresponsive engine that keeps receiving streams."""
    harness = AttemptHarness.of(make_route())
    harness.dispatcher.endpoints.note_bytes('e1', harness.time.now_s - 1.0)
    harness.time.now_s += 0.2
    harness.attempt.note_failure(ExchangeError(Failure.STALLED))
    assert harness.ejected()


def test_wait_at_a_busy_endpoint_is_extended_once() -> None:
    """Guards against streams that lose their place in a busy engine's queue.

    The timeout is extended only if the endpoint has sent bytes, and only once.
    """
    harness = AttemptHarness.of(make_route())
    reservation = harness.attempt.reservation
    now_s = harness.time.now_s + 0.2
    endpoints = harness.dispatcher.endpoints
    assert extended_deadline_s(endpoints, reservation, 0.15, now_s) == 0.0
    endpoints.note_bytes('e1', now_s - 0.1)
    until_s = extended_deadline_s(endpoints, reservation, 0.15, now_s)
    assert until_s == reservation.reserved_s + QUEUED_TIMEOUT_S
    exchange = Exchange(expires_at_s=now_s, extend=lambda now: until_s)
    assert not exchange.check_timeout(now_s + 0.01)
    assert exchange.check_timeout(until_s + 0.01)


@pytest.mark.parametrize(
    ('route', 'attempts', 'sends', 'may_retry'),
    [
        (make_route(resumable=True), 1, 1, True),
        (make_route(resumable=True), 2, 2, False),
        (make_route(resumable=False), 1, 1, False),
        (make_route(resumable=False), 0, 1, True),
        (make_route('non_idempotent', resumable=False), 1, 1, False),
        (make_route('non_idempotent', resumable=False), 0, 4, True),
        (make_route('non_idempotent', resumable=False), 0, 5, False),
        (make_route('idempotent', resumable=False), 1, 1, True),
    ],
)
def test_which_requests_may_be_retried(
    route: Route,
    attempts: int,
    sends: int,
    may_retry: bool,
) -> None:
    """Guards against retrying a request that is not idempotent."""
    harness = AttemptHarness.of(route)
    progress = Progress(attempts=attempts, sends=sends)
    final = final_failure(
        harness.attempt.context, harness.attempt.request, progress
    )
    assert (final is None) is may_retry
    if not may_retry and final is not None:
        assert (final[0] == 503) is (attempts == 0)


async def test_request_that_crashes_endpoints_is_refused() -> None:
    """Guards against a request that crashes one endpoint after another."""
    harness = AttemptHarness.of(make_route())
    context = harness.attempt.context
    request = harness.attempt.request
    context.crashes.now = harness.time.read
    for endpoint_id in ('a', 'b', 'c'):
        harness.time.now_s += 1.0
        context.crashes.note_crash(
            request.traits(),
            make_endpoint(endpoint_id),
            late=False,
            sent_s=harness.time.now_s,
        )
    caller = FakeCaller()
    outcome = await relay(context, request, caller, Progress())
    assert (caller.status, outcome.reason) == (503, 'crashes_endpoints')


async def test_served_request_is_no_suspect() -> None:
    """Guards against refusing a request that ran beside a crashing one."""
    harness = AttemptHarness.of(make_route())
    crashes = harness.attempt.context.crashes
    crashes.now = harness.time.read
    traits = harness.attempt.request.traits()
    for endpoint_id in ('a', 'b'):
        harness.time.now_s += 1.0
        crashes.note_crash(
            traits, make_endpoint(endpoint_id), late=False, sent_s=0.0
        )
    harness.attempt.note_served()
    harness.time.now_s += 1.0
    crashes.note_crash(traits, make_endpoint('c'), late=False, sent_s=0.0)
    assert not crashes.is_quarantined(traits)


async def test_expired_request_gets_a_final_response() -> None:
    """Guards against callers that wait past their deadline."""
    harness = AttemptHarness.of(make_route('idempotent'))
    request = replace(
        harness.attempt.request,
        deadline_s=harness.time.now_s - 1,
    )
    harness.dispatcher.release(harness.attempt.reservation)
    caller = FakeCaller()
    with anyio.fail_after(2):
        outcome = await relay(
            harness.attempt.context,
            request,
            caller,
            Progress(),
        )
    assert caller.finished
    assert outcome.status == 504


async def start_stream(harness: AttemptHarness, events: bytes) -> None:
    """Let the endpoint answer with a stream that begins with some events."""
    exchange = harness.attempt.exchange
    exchange.head = ResponseHead(200, [])
    harness.attempt.progress.response_started = True
    harness.attempt.progress.splitter.restart()
    exchange.chunks.append(events)
    assert await harness.attempt.forward_events(may_resume=True)


async def test_bytes_without_an_event_do_not_extend_a_pause() -> None:
    """Guards against a stalled stream that a byte now and then keeps open."""
    harness = AttemptHarness.of(make_route('stream'))
    exchange = harness.attempt.exchange
    await start_stream(harness, b'id: 1\ndata: a\n\n')
    deadline_s = exchange.expires_at_s
    assert deadline_s > harness.time.now_s
    for _ in range(4):
        harness.time.now_s += 0.1
        exchange.chunks.append(b':')
        assert await harness.attempt.forward_events(may_resume=True)
        assert exchange.expires_at_s == deadline_s
    exchange.chunks.append(b'\n\nid: 2\ndata: b\n\n')
    assert await harness.attempt.forward_events(may_resume=True)
    assert exchange.expires_at_s > deadline_s


async def test_slow_caller_is_no_pause_of_the_endpoint() -> None:
    """Guards against cutting a sound stream whose caller reads slowly."""
    harness = AttemptHarness.of(make_route('stream'))
    exchange = harness.attempt.exchange
    seen: list[float] = []

    async def send_slowly(_chunk: bytes) -> None:
        seen.append(exchange.expires_at_s)
        harness.time.now_s += 2.0

    with mock.patch.object(FakeCaller, 'send', lambda _, raw: send_slowly(raw)):
        await start_stream(harness, b'id: 1\ndata: a\n\n')
    assert seen == [harness.attempt.request.deadline_s]
    assert exchange.expires_at_s > harness.time.now_s


CHUNKED_HEAD = [
    (b'response-signature', b'p'),
    (b'transfer-encoding', b'chunked'),
]
UNFRAMED_HEAD = CHUNKED_HEAD[:1]


# Guards against an endpoint that crashes before the first event of a stream
# without length or chunks, whose end then looks like that of a whole answer.
@pytest.mark.parametrize(
    ('headers', 'last_event'),
    [(UNFRAMED_HEAD, None), (UNFRAMED_HEAD, 4), (CHUNKED_HEAD, None)],
    ids=['unframed', 'unframed resumed', 'chunked'],
)
async def test_stream_without_an_event_is_broken(
    headers: Headers, last_event: int | None
) -> None:
    """Guards against an empty stream that counts as served.

    It would also clear the crashes that the request has caused.
    """
    harness = AttemptHarness.of(make_route('stream'))
    harness.attempt.progress.splitter.last_id = last_event
    exchange = harness.attempt.exchange
    exchange.complete = True
    exchange.head = ResponseHead(200, headers)
    with pytest.raises(ExchangeError) as raised:
        await harness.attempt.handle_response(exchange.head)
    assert raised.value.failure is Failure.BROKEN
    caller = harness.attempt.caller
    assert isinstance(caller, FakeCaller)
    assert not caller.finished


async def test_resumed_stream_may_have_no_event_left() -> None:
    """Guards against a stream that is cut because only its end was missing."""
    harness = AttemptHarness.of(make_route('stream'))
    harness.attempt.progress.splitter.last_id = 4
    exchange = harness.attempt.exchange
    exchange.complete = True
    exchange.head = ResponseHead(200, CHUNKED_HEAD)
    outcome = await harness.attempt.handle_response(exchange.head)
    assert outcome is not None
    assert outcome.reason == 'served'


def test_refusal_that_asks_for_a_pause_is_obeyed() -> None:
    """Guards against requests to an endpoint that said when to come back."""
    harness = AttemptHarness.of(make_route())
    harness.dispatcher.permits.limits.table = harness.dispatcher.endpoints
    refusal = ResponseHead(
        503, [(b'not-executed', b'1'), (b'retry-after', b'1.5')]
    )
    harness.attempt.note_not_run(refusal)
    now_s = harness.time.now_s
    assert harness.dispatcher.endpoints.paused('lm', now_s)
    assert not harness.dispatcher.endpoints.paused('lm', now_s + 1.6)


@pytest.mark.parametrize(
    ('kind', 'idempotent'),
    [('idempotent', True), ('stream', True), ('non_idempotent', False)],
)
def test_only_streams_can_be_resumed(kind: RouteKind, idempotent: bool) -> None:
    """Guards against a second run of a request that is not idempotent.

    A route of another kind may have the field of a resumable stream.
    """
    assert make_route(kind, resumable=True).idempotent is idempotent
