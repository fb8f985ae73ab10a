"""Tests of whole gateway fleets as real processes."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path

import anyio
import orjson

from gateway_fleet import GatewayFleet
from quetzaldyke.standins.platform_endpoint import event_of, whole_output

EVENTS = 30
Body = Callable[[GatewayFleet], Awaitable[None]]


def play(tmp_path: Path, body: Body, engines: int = 2) -> None:
    """Run a body against a fleet of two entries."""

    async def run() -> None:
        async with AsyncExitStack() as stack:
            fleet = GatewayFleet(tmp_path, stack)
            await fleet.start(2, engines=engines, services=1, events=EVENTS)
            await body(fleet)

    anyio.run(run)


async def ask(
    fleet: GatewayFleet,
    entry: str,
    path: str,
    request_id: str,
) -> tuple[int, bytes]:
    """Send a request to an entry."""
    return await fleet.call(
        fleet.ports[entry].front,
        'POST',
        path,
        None,
        {'Attempt-Id': request_id, 'Deadline-Ms': '4000'},
        limit_s=6.0,
    )


def whole(request_id: str) -> bytes:
    """Return the whole stream of a request."""
    return b''.join(
        event_of(request_id, number) for number in range(1, EVENTS + 1)
    )


def test_requests_of_each_kind(tmp_path: Path) -> None:
    """Guards against a path that serves nothing, or what it should not."""

    async def body(fleet: GatewayFleet) -> None:
        assert await ask(fleet, 'entry-0', '/again/x', 'r1') == (
            200,
            whole('r1'),
        )
        assert await ask(fleet, 'entry-1', '/book/x', 'r2') == (200, b'done r2')
        assert (await ask(fleet, 'entry-0', '/nowhere/x', 'r3'))[0] == 404
        status, _ = await fleet.call(
            fleet.ports['entry-0'].front,
            'POST',
            '/look/x',
        )
        assert status == 400
        status, text = await fleet.call(
            fleet.ports['entry-0'].metrics,
            'GET',
            '/metrics',
        )
        assert status == 200
        assert b'requests_total{kind="stream",status="200"} 1' in text

    play(tmp_path, body)


def test_stream_goes_on_when_its_engine_is_killed(tmp_path: Path) -> None:
    """Guards against streams lost, doubled or joined wrongly by a crash."""

    async def body(fleet: GatewayFleet) -> None:
        answers: dict[str, tuple[int, bytes]] = {}

        async def stream(request_id: str) -> None:
            answers[request_id] = await ask(
                fleet,
                'entry-0',
                '/again/x',
                request_id,
            )

        async with anyio.create_task_group() as group:
            for number in range(4):
                group.start_soon(stream, f'r{number}')
            await anyio.sleep(0.12)
            await fleet.processes['i-lm0'].kill()
        assert answers == {
            request_id: (200, whole(request_id)) for request_id in answers
        }

    play(tmp_path, body)


def test_planned_stop_cuts_no_stream(tmp_path: Path) -> None:
    """Guards against requests cut by SIGTERM."""

    async def body(fleet: GatewayFleet) -> None:
        answers = []

        async def stream(number: int) -> None:
            answers.append(await ask(fleet, 'entry-0', '/once/x', f'r{number}'))

        async with anyio.create_task_group() as group:
            for number in range(3):
                group.start_soon(stream, number)
            await anyio.sleep(0.1)
            fleet.processes['entry-0'].signal(signal.SIGTERM)
            # The balancer goes on sending for two readiness periods.
            for number in range(3, 9):
                await anyio.sleep(0.2)
                group.start_soon(stream, number)
        assert [status for status, _ in answers] == [200] * 9
        process = fleet.processes['entry-0'].process
        assert process is not None
        with anyio.fail_after(10):
            assert await process.wait() == 0

    play(tmp_path, body)


def test_job_is_read_at_any_entry_after_its_owner_died(tmp_path: Path) -> None:
    """Guards against jobs that are lost with the entry that accepted them."""

    async def body(fleet: GatewayFleet) -> None:
        items = [
            {
                'id': f'j-{number}',
                'path': '/jobs/x',
                'body': 'aGk=',
                'tokens': 5,
            }
            for number in range(5)
        ]
        status, _ = await fleet.call(
            fleet.ports['entry-0'].front,
            'POST',
            '/jobs/x',
            {'items': items},
            {'Attempt-Id': 'j'},
        )
        assert status == 202
        await fleet.processes['entry-0'].kill()
        other = fleet.ports['entry-1'].front
        results: list[dict[str, str]] = []
        with anyio.fail_after(20):
            while len(results) < len(items):
                status, page = await fleet.call(
                    other,
                    'GET',
                    '/quetzaldyke/lots/j?after=0',
                )
                assert status == 200
                results = orjson.loads(page)['results']
                await anyio.sleep(0.1)
        assert {one['id'] for one in results} == {one['id'] for one in items}
        assert all(
            one['output'] == whole_output(one['id'], EVENTS) for one in results
        )
        status, text = await fleet.call(
            other,
            'GET',
            '/quetzaldyke/items/j?id=j-0',
        )
        assert (status, text) == (200, b'hi')
        status, _ = await fleet.call(other, 'GET', '/quetzaldyke/lots/none')
        assert status == 404

    play(tmp_path, body)


def test_store_outage_stops_no_online_request(tmp_path: Path) -> None:
    """Guards against online requests that depend on the store."""

    async def body(fleet: GatewayFleet) -> None:
        await fleet.set_faults(fleet.store_port, refuse=True, lapse=True)
        await anyio.sleep(1.5)
        assert await ask(fleet, 'entry-0', '/again/x', 'r1') == (
            200,
            whole('r1'),
        )
        status, _ = await fleet.call(
            fleet.ports['entry-0'].front,
            'POST',
            '/jobs/x',
            {'items': []},
            {'Attempt-Id': 'j'},
        )
        assert status == 503

    play(tmp_path, body)
