"""Tests of fleets of processes whose engines' answers end with a close."""

from __future__ import annotations

from contextlib import AsyncExitStack
from pathlib import Path

import anyio
import orjson

from gateway_fleet import GatewayFleet
from quetzaldyke.standins.platform_endpoint import event_of, expected_output

EVENTS = 30
ITEMS = 12
REQUESTS = 18


async def submit_job(fleet: GatewayFleet, job_id: str) -> list[str]:
    """Submit a job and return the ids of its items."""
    items = [f'{job_id}-{number}' for number in range(ITEMS)]
    rows = [
        {'id': item, 'path': '/jobs/x', 'body': 'aGk=', 'tokens': 5}
        for item in items
    ]
    status, _ = await fleet.call(
        fleet.ports['entry-0'].front,
        'POST',
        '/jobs/x',
        {'items': rows},
        {'Attempt-Id': job_id},
    )
    assert status == 202
    return items


async def send_streams(fleet: GatewayFleet) -> dict[str, tuple[int, bytes]]:
    """Send requests that need the slots of batch runs; return the answers."""
    answers: dict[str, tuple[int, bytes]] = {}

    async def send(request_id: str, entry: str) -> None:
        answers[request_id] = await fleet.call(
            fleet.ports[entry].front,
            'POST',
            '/again/x',
            None,
            {'Attempt-Id': request_id, 'Deadline-Ms': '4000'},
            timeout_s=6.0,
        )

    async with anyio.create_task_group() as group:
        for number in range(REQUESTS):
            group.start_soon(send, f'r{number}', f'entry-{number % 2}')
            await anyio.sleep(0.05)
    return answers


async def read_results(fleet: GatewayFleet, job_id: str) -> dict[str, str]:
    """Return the outputs of a job's completed items once all are listed."""
    path = f'/quetzaldyke/lots/{job_id}?after=0'
    with anyio.fail_after(20):
        while True:
            status, body = await fleet.call(
                fleet.ports['entry-1'].front, 'GET', path
            )
            if status == 200:
                document = orjson.loads(body)
                if len(document['results']) == document['total']:
                    return {
                        row['id']: row['output']
                        for row in document['results']
                        if row['state'] == 'completed'
                    }
            await anyio.sleep(0.1)


async def wait_for_batch(folder: Path, entries: int) -> None:
    """Wait until all entries run batch items: a new one serves callers first."""
    logs = [folder / f'entry-{number}.log' for number in range(entries)]
    with anyio.fail_after(20):
        while not all(b'event=batch_begun' in log.read_bytes() for log in logs):
            await anyio.sleep(0.05)


# Guards against batch results with part of their text, and streams that end
# early, where engines' answers end with their connections and runs are
# preempted for online requests.
def test_preempted_items_are_whole_without_framing(tmp_path: Path) -> None:
    """Preempted items and the streams that preempt them are whole."""

    async def run() -> None:
        async with AsyncExitStack() as stack:
            fleet = GatewayFleet(tmp_path, stack, unframed=True)
            await fleet.start(2, engines=1, services=0, events=EVENTS)
            await wait_for_batch(tmp_path, entries=2)
            items = await submit_job(fleet, 'job1')
            answers = await send_streams(fleet)
            results = await read_results(fleet, 'job1')
            for request_id, (status, body) in answers.items():
                if status == 200:
                    assert body == b''.join(
                        event_of(request_id, number)
                        for number in range(1, EVENTS + 1)
                    )
            assert results == {
                item: expected_output(item, EVENTS) for item in items
            }
            log = b''.join(
                (tmp_path / f'entry-{number}.log').read_bytes()
                for number in range(2)
            )
            assert b'event=item_preempted' in log
            assert b'delimited_by=close' in log

    anyio.run(run)


# Guards against batch results and streams with part of their text, where
# engines close connections cleanly between two events.
def test_items_cut_between_events_are_whole(tmp_path: Path) -> None:
    """Each item and each stream that was cut has all its events."""

    async def run() -> None:
        async with AsyncExitStack() as stack:
            fleet = GatewayFleet(tmp_path, stack, unframed=True, cut_events=20)
            await fleet.start(2, engines=2, services=0, events=60)
            items = await submit_job(fleet, 'job1')
            answers = await send_streams(fleet)
            results = await read_results(fleet, 'job1')
            assert sum(proxy.cuts for proxy in fleet.unframed_proxies) > 3
            for request_id, (status, body) in answers.items():
                if status == 200:
                    assert body == b''.join(
                        event_of(request_id, number) for number in range(1, 61)
                    )
            assert results == {
                item: expected_output(item, 60) for item in items
            }

    anyio.run(run)
