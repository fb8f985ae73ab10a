"""Files and batches over HTTP, with real entries, sidecars and engines."""

from __future__ import annotations

import json
from typing import Any

import anyio
import pytest

from entry_rig import Answer, Fleet, make_fleet
from quetzaldyke.process.batch_part import BATCH_PART

ENTRY = {'parts': (BATCH_PART,)}
BOUNDARY = 'quetzaldyke-test-boundary'


def items(count: int, **fields: Any) -> bytes:
    """Return a JSON Lines file of batch items; item 3 is invalid."""
    rows = [
        {
            'custom_id': f'item-{number}',
            'method': 'POST',
            'url': '/v1/completions',
            'body': {
                'model': 'orders',
                'prompt': 'INVALID' if number == 3 else f'order {number}',
                'max_tokens': 5,
                **fields,
            },
        }
        for number in range(count)
    ]
    return '\n'.join(json.dumps(row) for row in rows).encode()


async def upload(fleet: Fleet, contents: bytes, **more: Any) -> Answer:
    """Upload a file as a multipart form."""
    parts = [
        f'--{BOUNDARY}\r\n'
        'Content-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n',
        f'--{BOUNDARY}\r\n'
        'Content-Disposition: form-data; name="file"; filename="a.jsonl"\r\n'
        'Content-Type: application/jsonl\r\n\r\n',
    ]
    body = (
        ''.join(parts).encode() + contents + f'\r\n--{BOUNDARY}--\r\n'.encode()
    )
    kind = f'multipart/form-data; boundary={BOUNDARY}'
    headers = {
        'Content-Type': kind,
        'Content-Length': str(len(body)),
    }
    return await fleet.ask('/v1/files', body, headers=headers, **more)


async def create(fleet: Fleet, file_id: str, **more: Any) -> Answer:
    """Create a job for an uploaded file."""
    body = {'input_file_id': file_id, 'endpoint': '/v1/completions'}
    return await fleet.ask('/v1/batches', {**body, **more})


def test_job_runs_from_upload_to_results() -> None:
    """Guards against batch parts that pass their own tests but fail together.

    Runs a job from upload to results, with one invalid item. The status is
    read at another entry, and a repeated request must return the same job.
    """

    async def scenario() -> None:
        async with make_fleet(engines=2, entries=2, entry=ENTRY) as fleet:
            stored = await upload(fleet, items(40))
            assert stored.status == 200, stored.body
            created = await create(
                fleet,
                stored.json()['id'],
                deadline={'local': '2030-06-01T18:00', 'zone': 'Asia/Karachi'},
            )
            assert created.status == 200, created.body
            job_id = created.json()['id']
            again = await create(
                fleet,
                stored.json()['id'],
                deadline={'local': '2030-06-01T18:00', 'zone': 'Asia/Karachi'},
            )
            assert again.json()['id'] == job_id
            path = f'/v1/batches/{job_id}'
            status = await fleet.ask(path, entry='entry-2')
            while status.json()['status'] != 'completed':
                await anyio.sleep(0.1)
                status = await fleet.ask(path, entry='entry-2')
            counts = status.json()['request_counts']
            assert counts == {'total': 40, 'completed': 39, 'failed': 1}
            output = status.json()['output_file_id']
            found = await fleet.ask(f'/v1/files/{output}/content')
            lines = [json.loads(line) for line in found.body.splitlines()]
            assert len({line['custom_id'] for line in lines}) == 39
            online = await fleet.complete('order 7', 5, stream=False)
            batch = lines[6]['response']['body']['choices'][0]['text']
            assert lines[6]['custom_id'] == 'item-7'
            assert batch == online.text
            bad = status.json()['error_file_id']
            refused = await fleet.ask(f'/v1/files/{bad}/content')
            assert refused.json()['custom_id'] == 'item-3'
            assert refused.json()['error']['code'] == 'invalid_item'

    anyio.run(scenario)


def test_cancel_stops_a_job_at_the_engines() -> None:
    """Guards against items that still run at an engine after a cancel."""

    async def scenario() -> None:
        async with make_fleet(engines=2, entries=2, entry=ENTRY) as fleet:
            stored = await upload(fleet, items(60, max_tokens=5000))
            created = await create(fleet, stored.json()['id'])
            job_id = created.json()['id']
            running = [
                fleet.sidecar(name).admission.running for name in fleet.engines
            ]
            while not all(running):
                await anyio.sleep(0.02)
            cancelled = await fleet.ask(
                f'/v1/batches/{job_id}/cancel',
                {},
                entry='entry-2',
            )
            assert cancelled.json()['status'] == 'cancelled', cancelled.body
            assert not any(running)

    anyio.run(scenario)


def test_organisations_do_not_see_each_other() -> None:
    """Guards against access to another organisation's files and jobs."""

    async def scenario() -> None:
        async with make_fleet(entries=1, entry=ENTRY) as fleet:
            stored = await upload(fleet, items(4))
            file_id = stored.json()['id']
            job_id = (await create(fleet, file_id)).json()['id']
            for path, body in (
                (f'/v1/files/{file_id}', None),
                (f'/v1/files/{file_id}/content', None),
                (f'/v1/files/output-{job_id}/content', None),
                (f'/v1/files/errors-{job_id}/content', None),
                (f'/v1/batches/{job_id}', None),
                (f'/v1/batches/{job_id}/cancel', {}),
                (
                    '/v1/batches',
                    {'input_file_id': file_id, 'endpoint': '/v1/completions'},
                ),
            ):
                own = await fleet.ask(path, body)
                other = await fleet.ask(path, body, organisation='kymata')
                assert (own.status, other.status) == (200, 404), path
                assert other.error['ran'] == 'not_run'
            listed = await fleet.ask('/v1/batches', organisation='kymata')
            assert listed.json()['data'] == []

    anyio.run(scenario)


@pytest.mark.parametrize(
    ('contents', 'code'),
    [
        (b'', 'invalid_file'),
        (b'not json', 'invalid_file'),
        (b'{"custom_id": "a", "url": "/v1/completions", "body": {}}', ''),
        (items(2) + b'\n' + items(1), 'invalid_file'),
    ],
)
def test_invalid_files_are_refused(contents: bytes, code: str) -> None:
    """Guards against accepting a file with invalid or duplicate items."""

    async def scenario() -> None:
        async with make_fleet(entries=1, entry=ENTRY) as fleet:
            refused = await upload(fleet, contents)
            assert refused.status == 400
            assert refused.error['code'] == (code or 'invalid_file')
            assert refused.error['ran'] == 'not_run'

    anyio.run(scenario)
