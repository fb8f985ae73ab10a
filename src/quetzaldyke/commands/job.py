"""Commands that submit, monitor and cancel batch jobs through an entry."""

from __future__ import annotations

import json
import sys
import uuid
from pathlib import Path
from typing import Any, Final

from quetzaldyke.commands.http_client import (
    Response,
    Client,
    callers_client,
    exit_on_error,
    print_response,
)

MAX_ATTEMPTS: Final = 5
BOUNDARY_PREFIX: Final = 'quetzaldyke-'


def submit(
    file: str,
    endpoint: str = '/v1/chat/completions',
    deadline: str = '',
    zone: str = '',
    idempotency_key: str = '',
    callers_address: str = '',
    caller_key: str = '',
) -> None:
    """Upload a JSON Lines file of items and create a job for it.

    `deadline` is a local time such as 2026-03-01T19:30 in the IANA `zone`.
    Submitting the same job again returns the existing job.
    """
    client = callers_client(callers_address, caller_key)
    uploaded = upload(client, Path(file))
    if not uploaded.ok:
        print_response(uploaded)
    body: dict[str, Any] = {
        'input_file_id': uploaded.document()['id'],
        'endpoint': endpoint,
    }
    if deadline:
        body['deadline'] = {'local': deadline, 'zone': zone}
    headers = {'idempotency-key': str(idempotency_key or uuid.uuid4())}
    sys.stderr.write(f'idempotency key {headers["idempotency-key"]}\n')
    response = Response(0, b'')
    for _ in range(MAX_ATTEMPTS):
        response = client.call(
            'POST',
            '/v1/batches',
            json.dumps(body).encode(),
            headers,
        )
        if response.status:
            break
    print_response(response)


def upload(client: Client, path: Path) -> Response:
    """Upload a batch input file as a multipart form."""
    boundary = f'{BOUNDARY_PREFIX}{uuid.uuid4().hex}'
    name = path.name.replace('"', '_')
    parts = (
        f'--{boundary}\r\nContent-Disposition: form-data; name="purpose"'
        '\r\n\r\nbatch\r\n'
        f'--{boundary}\r\nContent-Disposition: form-data; name="file"; '
        f'filename="{name}"\r\nContent-Type: application/jsonl\r\n\r\n'
    )
    content = parts.encode() + path.read_bytes()
    content += f'\r\n--{boundary}--\r\n'.encode()
    content_type = f'multipart/form-data; boundary={boundary}'
    return client.call(
        'POST', '/v1/files', content, {'content-type': content_type}
    )


def status(
    job_id: str,
    callers_address: str = '',
    caller_key: str = '',
) -> None:
    """Print a job's status.

    It includes the estimated completion time and whether the deadline is at
    risk.
    """
    client = callers_client(callers_address, caller_key)
    print_response(client.call('GET', f'/v1/batches/{job_id}'))


def cancel(
    job_id: str,
    callers_address: str = '',
    caller_key: str = '',
) -> None:
    """Cancel a job and print its status."""
    client = callers_client(callers_address, caller_key)
    print_response(client.call('POST', f'/v1/batches/{job_id}/cancel'))


def results(
    job_id: str,
    errors: bool = False,
    callers_address: str = '',
    caller_key: str = '',
) -> None:
    """Print the recorded results, or with `errors` the failed items."""
    client = callers_client(callers_address, caller_key)
    job = client.call('GET', f'/v1/batches/{job_id}')
    if not job.ok:
        print_response(job)
    file_field = 'error_file_id' if errors else 'output_file_id'
    file_id = job.document().get(file_field)
    if not file_id:
        return
    response = client.call('GET', f'/v1/files/{file_id}/content')
    sys.stdout.write(response.content.decode())
    exit_on_error(response)


JOB_COMMANDS: Final = {
    'submit': submit,
    'status': status,
    'results': results,
    'cancel': cancel,
}
