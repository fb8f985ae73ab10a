"""Tests of one endpoint that goes on running and cuts its answers."""

from __future__ import annotations

import time
from dataclasses import replace
from typing import Final

import anyio
import pytest

from gateway_kit import make_dispatcher, make_endpoint, make_route
from quetzaldyke.gateway.crashes import CrashTracker
from quetzaldyke.gateway.http_client import HttpClient
from quetzaldyke.gateway.online_request import Progress, RelayContext
from quetzaldyke.gateway.relay import relay
from raw_endpoint import raw_endpoint
from test_broken_streams import MonotonicTime
from test_gateway_attempts import FakeCaller, make_request

pytestmark = pytest.mark.anyio

CUT_ANSWER: Final = (
    b'HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nResponse-Signature: s\r\n'
    b'Content-Length: 100\r\n\r\npart'
)
REQUESTS: Final = 8
# Longer than an endpoint needs at least to start again.
PAUSE_S: Final = 0.15


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


# Guards against a sound part of prompts that is refused because one endpoint,
# which never restarts, cuts the answers to requests with it.
@pytest.mark.parametrize('serves_others', [False, True])
async def test_cut_answers_of_one_endpoint_are_no_crashes(
    serves_others: bool,
) -> None:
    """Each request is sent, and fails by itself."""
    now = MonotonicTime(time.monotonic())
    async with raw_endpoint(lambda *_: CUT_ANSWER, closing=True) as endpoint:
        dispatcher = make_dispatcher(
            now,
            replace(make_endpoint('e1'), host='127.0.0.1', port=endpoint.port),
        )
        context = RelayContext(
            dispatcher,
            HttpClient(),
            CrashTracker(now=now.read),
            now.read,
            lambda *_, **fields: None,
        )
        statuses = []
        for number in range(REQUESTS):
            if serves_others:
                dispatcher.endpoints.note_bytes('e1', now.read())
            request = replace(
                make_request(
                    make_route('idempotent', max_attempts=1), now.read()
                ),
                body=b'%d' % number,
                prompt_parts=('shared', f'own{number}'),
            )
            outcome = await relay(context, request, FakeCaller(), Progress())
            statuses.append(outcome.status)
            await anyio.sleep(PAUSE_S)
    assert statuses == [502] * REQUESTS
