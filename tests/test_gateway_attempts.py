"""Tests of attempts: stalls, errors and what they say of an endpoint."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import anyio
import pytest

from gateway_kit import FakeTime, make_dispatcher, make_endpoint, make_route
from quetzaldyke.gateway.attempt import Attempt
from quetzaldyke.gateway.crashes import CrashBook
from quetzaldyke.gateway.dispatcher import Dispatcher
from quetzaldyke.gateway.exchange import (
    Exchange,
    ExchangeError,
    Failure,
    ResponseHead,
)
from quetzaldyke.gateway.http_client import HttpClient
from quetzaldyke.gateway.model import Route
from quetzaldyke.gateway.online_request import (
    Headers,
    OnlineRequest,
    Progress,
    RelayContext,
)
from quetzaldyke.gateway.relay import relay
from quetzaldyke.gateway.retries import may_not_retry
from quetzaldyke.gateway.stalls import QUEUED_SILENCE_S, extended_s

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


@dataclass(slots=True)
class FakeCaller:
    """Keeps what a caller gets."""

    status: int = 0
    headers: Headers = field(default_factory=list)
    body: bytes = b''
    finished: bool = False

    async def start(self, status: int, headers: Headers) -> None:
        """Take the head."""
        self.status = status
        self.headers = headers

    async def send(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self.body += chunk

    async def finish(self) -> None:
        """Take the end."""
        self.finished = True


@dataclass(slots=True)
class Bed:
    """One attempt at endpoint `e1` of a fake fleet."""

    time: FakeTime
    dispatcher: Dispatcher
    attempt: Attempt

    @classmethod
    def of(cls, route: Route) -> Bed:
        """Return an attempt that has not been sent."""
        time = FakeTime()
        dispatcher = make_dispatcher(time, make_endpoint('e1'))
        reservation = dispatcher.try_acquire('lm')
        assert reservation is not None
        context = RelayContext(
            dispatcher,
            HttpClient(),
            CrashBook(),
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


async def test_time_out_of_a_request_does_not_blame_the_endpoint() -> None:
    """Guards against endpoints ejected by requests with little time."""
    bed = Bed.of(make_route('idempotent'))
    bed.attempt.progress.attempts = 2
    await bed.attempt.take_error(ResponseHead(504, []), b'')
    assert not bed.ejected()


async def test_fault_blames_the_endpoint() -> None:
    """Guards against endpoints that fail and keep their full share."""
    bed = Bed.of(make_route('idempotent'))
    bed.attempt.progress.attempts = 2
    await bed.attempt.take_error(ResponseHead(500, []), b'')
    assert bed.ejected()


def test_busy_endpoint_is_not_eject() -> None:
    """Guards against a burst that ejects every full engine."""
    bed = Bed.of(make_route())
    bed.time.now_s += 0.2
    bed.dispatcher.endpoints.note_bytes('e1', bed.time.now_s - 0.05)
    bed.attempt.note_failure(ExchangeError(Failure.STALLED))
    assert not bed.ejected()


def test_one_lost_answer_does_not_eject_a_serving_endpoint() -> None:
    """Guards against single resets that take whole engines out of use."""
    bed = Bed.of(make_route())
    bed.dispatcher.endpoints.note_bytes('e1', bed.time.now_s - 0.05)
    bed.attempt.note_failure(ExchangeError(Failure.BROKEN))
    assert not bed.ejected()


def test_many_lost_answers_eject_a_serving_endpoint() -> None:
    """Guards against endpoints that fail a large share of their requests."""
    bed = Bed.of(make_route())
    for _ in range(5):
        bed.dispatcher.endpoints.note_bytes('e1', bed.time.now_s)
        bed.attempt.note_failure(ExchangeError(Failure.BROKEN))
    assert bed.ejected()


def test_dark_endpoint_is_eject() -> None:
    """Guards against a dark engine that keeps getting streams."""
    bed = Bed.of(make_route())
    bed.dispatcher.endpoints.note_bytes('e1', bed.time.now_s - 1.0)
    bed.time.now_s += 0.2
    bed.attempt.note_failure(ExchangeError(Failure.STALLED))
    assert bed.ejected()


def test_wait_at_a_busy_endpoint_is_extended_once() -> None:
    """Guards against streams that lose their place in a busy engine."""
    bed = Bed.of(make_route())
    reservation = bed.attempt.reservation
    now_s = bed.time.now_s + 0.2
    endpoints = bed.dispatcher.endpoints
    assert extended_s(endpoints, reservation, 0.15, now_s) == 0.0
    endpoints.note_bytes('e1', now_s - 0.1)
    until_s = extended_s(endpoints, reservation, 0.15, now_s)
    assert until_s == reservation.taken_s + QUEUED_SILENCE_S
    exchange = Exchange(expires_at_s=now_s, extend=lambda now: until_s)
    assert not exchange.check_time(now_s + 0.01)
    assert exchange.check_time(until_s + 0.01)


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
def test_what_may_be_repeated(
    route: Route,
    attempts: int,
    sends: int,
    may_retry: bool,
) -> None:
    """Guards against a second run of a request that may run once."""
    bed = Bed.of(route)
    progress = Progress(attempts=attempts, sends=sends)
    final = may_not_retry(bed.attempt.context, bed.attempt.request, progress)
    assert (final is None) is may_retry
    if not may_retry and final is not None:
        assert (final[0] == 503) is (attempts == 0)


async def test_request_that_crashes_endpoints_is_refused() -> None:
    """Guards against a request that takes one endpoint down after another."""
    bed = Bed.of(make_route())
    context = bed.attempt.context
    request = bed.attempt.request
    for endpoint_id in ('a', 'b', 'c'):
        context.crashes.note(request.fingerprint(), endpoint_id)
    caller = FakeCaller()
    outcome = await relay(context, request, caller, Progress())
    assert (caller.status, outcome.reason) == (503, 'crashes_endpoints')


async def test_request_that_was_served_is_no_suspect() -> None:
    """Guards against refusing what only ran beside a crashing request."""
    bed = Bed.of(make_route())
    crashes = bed.attempt.context.crashes
    fingerprint = bed.attempt.request.fingerprint()
    for endpoint_id in ('a', 'b'):
        crashes.note(fingerprint, endpoint_id)
    bed.attempt.note_served()
    crashes.note(fingerprint, 'c')
    assert not crashes.is_suspect(fingerprint)


async def test_expired_request_gets_its_final_answer() -> None:
    """Guards against callers that are held after their time is over."""
    bed = Bed.of(make_route('idempotent'))
    request = replace(
        bed.attempt.request,
        deadline_s=bed.time.now_s - 1,
    )
    bed.dispatcher.release(bed.attempt.reservation)
    caller = FakeCaller()
    with anyio.fail_after(2):
        outcome = await relay(
            bed.attempt.context,
            request,
            caller,
            Progress(),
        )
    assert caller.finished
    assert outcome.status == 504
