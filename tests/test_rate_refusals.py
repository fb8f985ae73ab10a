"""Tests of what callers get whose organisation is beyond its rate."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Final

import anyio
import pytest
from result import Err

from gateway_kit import FakeTime, make_dispatcher, make_route
from quetzaldyke.gateway.authentication import Identity
from quetzaldyke.gateway.crashes import CrashTracker
from quetzaldyke.gateway.http_client import HttpClient
from quetzaldyke.gateway.ingress import Ingress
from quetzaldyke.gateway.model import (
    CallerLimits,
    Configuration,
    Organisation,
)
from quetzaldyke.gateway.online_request import RelayContext
from quetzaldyke.gateway.rate_demand import Admission, RateRefusal
from quetzaldyke.parts.api_keys import KeyDirectory, hash_key
from quetzaldyke.process.metrics import Metrics
from rate_fleet import RateFleet

LARGE: Final = Organisation('large', rate=2.0, burst=2.0)
FREE: Final = Organisation('free')


class Refusing:
    """Refuses all requests that it is asked about."""

    def __init__(self) -> None:
        """Start without requests."""
        self.asked: list[str] = []

    async def admit(
        self, organisation: Organisation | None, deadline_s: float
    ) -> Admission:
        """Refuse a request."""
        self.asked.append(organisation.name if organisation else '')
        return Err(RateRefusal(0.25))


async def leave_to_routes(*_: object) -> bool:
    """Leave a request to the routes."""
    return False


async def serve_job(
    request: Any, route: Any, who: Identity, caller: Any
) -> bool:
    """Answer a request as one about a job."""
    await caller.start(200, [])
    await caller.finish()
    return True


async def ask(
    refusing: Refusing, handle_job: Callable[..., Any], logged: list[Any]
) -> list[dict[str, Any]]:
    """Send a request with a key; return the messages of the response."""
    context = RelayContext(
        make_dispatcher(FakeTime(5.0)),
        HttpClient(),
        CrashTracker(),
        lambda: 5.0,
        lambda name, **fields: logged.append((name, fields)),
    )
    ingress = Ingress(
        context,
        Metrics(),
        random.Random(1),
        handle_job,
        lambda: True,
        admit=refusing.admit,
    )
    directory = KeyDirectory({'large': LARGE}, {hash_key(b'k'): 'large'})
    route = make_route()
    ingress.configure(Configuration(1, (route,), {}, CallerLimits(), directory))
    sent: list[dict[str, Any]] = []
    body = [{'type': 'http.request', 'body': b'', 'more_body': False}]

    async def receive() -> dict[str, Any]:
        if body:
            return body.pop()
        await anyio.sleep_forever()
        return {}

    async def send(message: Any) -> None:
        sent.append(message)

    scope = {
        'type': 'http',
        'method': 'POST',
        'path': '/p/x',
        'raw_path': b'/p/x',
        'query_string': b'',
        'headers': [
            (b'host', b'h.example'),
            (b'attempt-id', b'r1'),
            (b'authorization', b'Bearer k'),
        ],
    }
    await ingress(scope, receive, send)
    return sent


@pytest.mark.anyio
async def test_refusal_names_the_time_and_the_organisation() -> None:
    """Guards against refusals that callers can't tell from an overload."""
    logged: list[Any] = []
    refusing = Refusing()
    sent = await ask(refusing, leave_to_routes, logged)
    assert sent[0]['status'] == 429
    assert (b'retry-after', b'0.25') in sent[0]['headers']
    fields = dict(logged)['request_refused']
    assert fields['reason'] == 'organisation_rate'
    assert fields['organisation'] == 'large'
    assert refusing.asked == ['large']


@pytest.mark.anyio
async def test_requests_about_jobs_do_not_count() -> None:
    """Guards against callers that can't read their results in an overload."""
    refusing = Refusing()
    sent = await ask(refusing, serve_job, [])
    assert sent[0]['status'] == 200
    assert not refusing.asked


@pytest.mark.anyio
async def test_admission_waits_for_the_coordinator() -> None:
    """Guards against requests whose permit arrives for nobody."""
    fleet = RateFleet.of(3, LARGE)
    entry = next(
        one
        for one in fleet.entries.values()
        if one.rates.shares.coordinator('large') != one.name
    )
    admissions: list[Admission] = []

    async def admit() -> None:
        deadline_s = fleet.time.now_s + 1.0
        admissions.append(await entry.rates.admit(LARGE, deadline_s))

    async with anyio.create_task_group() as group:
        for _ in range(8):
            group.start_soon(admit)
        await anyio.wait_all_tasks_blocked()
        fleet.run(0.1)
    refused = [one for one in admissions if isinstance(one, Err)]
    assert len(admissions) == 8
    assert len(refused) == 4


@pytest.mark.anyio
async def test_organisation_without_a_rate_costs_nothing() -> None:
    """Guards against waits and state for organisations without a limit."""
    fleet = RateFleet.of(2, LARGE)
    rates = fleet.running('i0').rates
    for organisation in (None, FREE):
        assert not isinstance(await rates.admit(organisation, 0.0), Err)
    assert not rates.demands
