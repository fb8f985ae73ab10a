"""Tests of the sidecar in front of a plain service."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest

from quetzaldyke.connection.answers import READ_AHEAD_BYTES
from quetzaldyke.connection.messages import Submit, Window
from quetzaldyke.connection.service_client import CHUNK_BYTES
from quetzaldyke.process.settings import SidecarSettings
from quetzaldyke.process.sidecar import run_sidecar
from quetzaldyke.process.sidecar_state import SidecarProcess
from quetzaldyke.standins.service import (
    ServiceOptions,
    ServiceStandin,
    run_service,
)
from sidecar_rig import LIMIT_S, SECRET, EntryClient, make_submit, until


@asynccontextmanager
async def make_service_rig() -> AsyncIterator[
    tuple[ServiceStandin, EntryClient, SidecarProcess]
]:
    """Run a plain service, its sidecar and an entry."""
    with anyio.fail_after(LIMIT_S):
        async with anyio.create_task_group() as group:
            service = await group.start(run_service, ServiceOptions())
            settings = SidecarSettings(
                instance='sidecar-1',
                failure_domain='a',
                peer_address='127.0.0.1:0',
                fleet_secret=SECRET,
                endpoint_address=service.address,
                endpoint_kind='service',
                pool='pool',
            )
            sidecar = await group.start(run_sidecar, settings)
            await until(lambda: sidecar.monitor.up)
            entry = EntryClient('entry-1', group)
            await entry.connect(sidecar.peer_address)
            yield service, entry, sidecar
            group.cancel_scope.cancel()


async def wait_until_refused(address: str) -> None:
    """Wait until nothing listens on an address."""
    host, _, port = address.rpartition(':')
    while True:
        try:
            stream = await anyio.connect_tcp(host, int(port))
        except OSError:
            return
        await stream.aclose()
        await anyio.sleep(0.002)


def make_booking(booking_id: str) -> Submit:
    """Return a request that makes a booking."""
    return make_submit(
        path='/bookings',
        body=json.dumps({'id': booking_id}).encode(),
        idempotent=False,
        fingerprint='',
    )


def test_small_answer_is_complete() -> None:
    """Guards against a changed status or body of a plain service."""

    async def scenario() -> None:
        async with make_service_rig() as (service, entry, _):
            outcome = await entry.ask(make_booking('b1'))
            assert outcome.end is not None
            assert (outcome.end.status, outcome.end.seq) == (201, 0)
            assert json.loads(outcome.end.body)['id'] == 'b1'
            assert outcome.end.headers['content-type'] == 'application/json'
            assert service.executions == {'b1': 1}

    anyio.run(scenario)


def test_large_answer_waits_for_credit_and_is_complete() -> None:
    """Guards against lost parts, and unbounded buffering for a slow caller."""

    async def scenario() -> None:
        async with make_service_rig() as (service, entry, sidecar):
            for number in range(500_000):
                service.executions[f'booking-{number}'] = 1
            submit = make_submit(
                path='/executions',
                method='GET',
                body=b'',
                headers={},
            )
            call = entry.calls.begin(submit)
            await until(lambda: call.next_seq == 64)
            request = sidecar.runner.requests[submit.request_id]
            await until(lambda: request.answer.full)
            small = await entry.ask(make_booking('b1'))
            assert small.end is not None
            assert not call.finished
            waiting = request.answer.buffered_bytes
            assert waiting < READ_AHEAD_BYTES + CHUNK_BYTES
            body = b''
            while not call.finished:
                entry.send(Window(submit.request_id, 8))
                await anyio.sleep(0.002)
            async for event in call.queue:
                body += getattr(event, 'raw', b'')
                body += getattr(event, 'body', b'')
            assert len(json.loads(body)) >= 500_000

    anyio.run(scenario)


@pytest.mark.parametrize(
    ('fault', 'ran', 'executions'),
    [('lose_answers', 'unknown', 1), ('down', 'not_run', 0)],
)
def test_failures_report_whether_the_request_ran(
    fault: str,
    ran: str,
    executions: int,
) -> None:
    """Guards against a false "not run", whose retry makes a second booking."""

    async def scenario() -> None:
        async with make_service_rig() as (service, entry, _):
            setattr(service.faults, fault, 1)
            if fault == 'down':
                await wait_until_refused(service.address)
            outcome = await entry.ask(make_booking('b1'))
            assert outcome.failed is not None
            assert outcome.failed.ran == ran
            assert service.executions['b1'] == executions

    anyio.run(scenario)
