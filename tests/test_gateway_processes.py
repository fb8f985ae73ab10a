"""End-to-end tests of gateway fleets that run as real processes."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path

import anyio
import orjson

from gateway_fleet import GatewayFleet
from quetzaldyke.standins.platform_endpoint import event_of, expected_output

EVENTS = 30
Scenario = Callable[[GatewayFleet], Awaitable[None]]


def run_with_fleet(
    tmp_path: Path, scenario: Scenario, engines: int = 2
) -> None:
    """Run a scenario against a new fleet of two entries."""

    async def run() -> None:
        async with AsyncExitStack() as stack:
            fleet = GatewayFleet(tmp_path, stack)
            await fleet.start(2, engines=engines, services=1, events=EVENTS)
            await scenario(fleet)

    anyio.run(run)


async def send_request(
    fleet: GatewayFleet,
    entry: str,
    path: str,
    request_id: str,
) -> tuple[int, bytes]:
    """Send a request to an entry; return its status and body."""
    return await fleet.call(
        fleet.ports[entry].front,
        'POST',
        path,
        None,
        {'Attempt-Id': request_id, 'Deadline-Ms': '4000'},
        timeout_s=6.0,
    )


def expected_stream(request_id: str) -> bytes:
    """Return the complete stream of a request."""
    return b''.join(
        event_of(request_id, number) for number in range(1, EVENTS + 1)
    )


def test_requests_of_each_route_kind(tmp_path: Path) -> None:
    """Guards against a route that serves no request or the wrong ones."""

    async def scenario(fleet: GatewayFleet) -> None:
        assert await send_request(fleet, 'entry-0', '/again/x', 'r1') == (
            200,
            expected_stream('r1'),
        )
        assert await send_request(fleet, 'entry-1', '/book/x', 'r2') == (
            200,
            b'done r2',
        )
        assert (await send_request(fleet, 'entry-0', '/nowhere/x', 'r3'))[
            0
        ] == 404
        status, _ = await fleet.call(
            fleet.ports['entry-0'].front,
            'POST',
            '/look/x',
        )
        assert status == 400
        status, content = await fleet.call(
            fleet.ports['entry-0'].metrics,
            'GET',
            '/metrics',
        )
        assert status == 200
        assert b'requests_total{kind="stream",status="200"} 1' in content

    run_with_fleet(tmp_path, scenario)


def test_stream_resumes_when_its_engine_is_killed(tmp_path: Path) -> None:
    """Guards against lost or repeated events when an endpoint crashes."""

    async def scenario(fleet: GatewayFleet) -> None:
        answers: dict[str, tuple[int, bytes]] = {}

        async def stream(request_id: str) -> None:
            answers[request_id] = await send_request(
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
            request_id: (200, expected_stream(request_id))
            for request_id in answers
        }

    run_with_fleet(tmp_path, scenario)


def test_graceful_shutdown_interrupts_no_stream(tmp_path: Path) -> None:
    """Guards against requests interrupted by SIGTERM.

    An entry must also serve the requests that the load balancer still sends
    after the signal.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        answers = []

        async def stream(number: int) -> None:
            answers.append(
                await send_request(fleet, 'entry-0', '/once/x', f'r{number}')
            )

        async with anyio.create_task_group() as group:
            for number in range(3):
                group.start_soon(stream, number)
            await anyio.sleep(0.1)
            fleet.processes['entry-0'].signal(signal.SIGTERM)
            # The load balancer keeps sending for two readiness periods.
            for number in range(3, 9):
                await anyio.sleep(0.2)
                group.start_soon(stream, number)
        assert [status for status, _ in answers] == [200] * 9
        process = fleet.processes['entry-0'].process
        assert process is not None
        with anyio.fail_after(10):
            assert await process.wait() == 0

    run_with_fleet(tmp_path, scenario)


def test_job_is_readable_at_any_entry_after_its_owner_crashed(
    tmp_path: Path,
) -> None:
    """Guards against jobs that are lost with the entry that accepted them."""

    async def scenario(fleet: GatewayFleet) -> None:
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
            one['output'] == expected_output(one['id'], EVENTS)
            for one in results
        )
        status, content = await fleet.call(
            other,
            'GET',
            '/quetzaldyke/items/j?id=j-0',
        )
        assert (status, content) == (200, b'hi')
        status, _ = await fleet.call(other, 'GET', '/quetzaldyke/lots/none')
        assert status == 404

    run_with_fleet(tmp_path, scenario)


def test_store_outage_does_not_affect_online_requests(tmp_path: Path) -> None:
    """Guards against online requests that depend on the store."""

    async def scenario(fleet: GatewayFleet) -> None:
        await fleet.set_faults(fleet.store_port, refuse=True, lapse=True)
        await anyio.sleep(1.5)
        assert await send_request(fleet, 'entry-0', '/again/x', 'r1') == (
            200,
            expected_stream('r1'),
        )
        status, _ = await fleet.call(
            fleet.ports['entry-0'].front,
            'POST',
            '/jobs/x',
            {'items': []},
            {'Attempt-Id': 'j'},
        )
        assert status == 503

    run_with_fleet(tmp_path, scenario)
