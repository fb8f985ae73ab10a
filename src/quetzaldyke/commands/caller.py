"""Asynchronous HTTP client for the demo, the benchmark and the tests."""

from __future__ import annotations

import secrets
import time
import uuid
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final

import httpcore
import orjson

from quetzaldyke.connection.engine_client import (
    StreamState,
    TextDelta,
    apply_event,
)
from quetzaldyke.connection.event_reader import EventReader

OK_STATUS: Final = 200
MS_IN_S: Final = 1000
UUID_BYTES: Final = 16
TIME_BYTES: Final = 6
VERSION_BYTE: Final = 6
VERSION_BITS: Final = 0x70
VERSION_LOW_MASK: Final = 0xF
VARIANT_BYTE: Final = 8
VARIANT_BITS: Final = 0x80
VARIANT_LOW_MASK: Final = 0x3F
TIMEOUTS: Final = {
    'timeout': {'connect': 10.0, 'pool': 10.0, 'write': 30.0, 'read': 60.0},
}

MAX_CONNECTIONS: Final = 1024
KEEPALIVE_EXPIRY_S: Final = 4.0


def make_pool() -> httpcore.AsyncConnectionPool:
    """Return a connection pool for one address."""
    return httpcore.AsyncConnectionPool(
        max_connections=MAX_CONNECTIONS,
        keepalive_expiry=KEEPALIVE_EXPIRY_S,
    )


@dataclass(slots=True)
class ChatOutcome:
    """Result of one streamed chat completion, as the client saw it.

    `complete` is set if the stream ended with its end marker and no error.
    """

    status: int = 0
    text: str = ''
    tokens: int = 0
    complete: bool = False
    error: str = ''
    ttft_s: float = 0.0
    token_gaps_s: list[float] = field(default_factory=list)


@dataclass(slots=True)
class Caller:
    """Client of one listener, authenticated by one key."""

    address: str
    key: str
    pool: httpcore.AsyncConnectionPool = field(default_factory=make_pool)

    async def request(
        self,
        method: str,
        path: str,
        body: object = None,
        headers: Mapping[str, str] | None = None,
    ) -> tuple[int, object]:
        """Send a request and return its status and content.

        The content is bytes if it is not JSON. Transport errors are raised.
        """
        content = body if isinstance(body, bytes) else orjson.dumps(body)
        response = await self.pool.request(
            method,
            f'http://{self.address}{path}',
            headers=self.headers(headers),
            content=content if body is not None else None,
            extensions=TIMEOUTS,
        )
        try:
            return response.status, orjson.loads(response.content)
        except orjson.JSONDecodeError:
            return response.status, response.content

    def headers(
        self,
        extra: Mapping[str, str] | None = None,
    ) -> list[tuple[str, str]]:
        """Return the headers of a request."""
        all_headers = {
            'authorization': f'Bearer {self.key}',
            'content-type': 'application/json',
        }
        return list((all_headers | dict(extra or {})).items())

    async def chat(
        self,
        model: str,
        prompt: str,
        max_tokens: int,
        intended_start_s: float | None = None,
    ) -> ChatOutcome:
        """Stream one chat completion; errors are recorded in the outcome.

        The time to first token counts from `intended_start_s`, if given.
        """
        outcome = ChatOutcome()
        started_s = (
            time.monotonic() if intended_start_s is None else intended_start_s
        )
        body = orjson.dumps(
            {
                'model': model,
                'stream': True,
                'max_tokens': max_tokens,
                'messages': [{'role': 'user', 'content': prompt}],
            },
        )
        try:
            async with self.pool.stream(
                'POST',
                f'http://{self.address}/v1/chat/completions',
                headers=self.headers(),
                content=body,
                extensions=TIMEOUTS,
            ) as response:
                outcome.status = response.status
                await read_stream(response, outcome, started_s)
        except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
            outcome.error = repr(exc)
        except httpcore.TimeoutException as exc:
            outcome.error = repr(exc)
        return outcome


async def read_stream(
    response: httpcore.Response,
    outcome: ChatOutcome,
    started_s: float,
) -> None:
    """Read a response stream and record its text and token times."""
    if response.status != OK_STATUS:
        outcome.error = (await response.aread()).decode('utf-8', 'replace')
        return
    state = StreamState()
    reader = EventReader()
    previous_s = 0.0
    async for data in response.aiter_stream():
        delta = TextDelta()
        for text in reader.feed(data):
            apply_event(text, delta, state)
        if not delta.text:
            continue
        now_s = time.monotonic()
        if outcome.tokens:
            outcome.token_gaps_s.append(
                (now_s - previous_s) / max(1, delta.tokens)
            )
        else:
            outcome.ttft_s = now_s - started_s
        previous_s = now_s
        outcome.text += delta.text
        outcome.tokens += delta.tokens
    outcome.complete = state.complete and not state.error
    outcome.error = state.error


def new_key() -> str:
    """Return a UUIDv7, made from the time in ms and random bits."""
    stamp = int(time.time() * MS_IN_S).to_bytes(TIME_BYTES, 'big')
    data = bytearray(stamp + secrets.token_bytes(UUID_BYTES - TIME_BYTES))
    data[VERSION_BYTE] = VERSION_BITS | data[VERSION_BYTE] & VERSION_LOW_MASK
    data[VARIANT_BYTE] = VARIANT_BITS | data[VARIANT_BYTE] & VARIANT_LOW_MASK
    return str(uuid.UUID(bytes=bytes(data)))


def item_line(
    number: int,
    model: str,
    prompt: str,
    max_tokens: int,
) -> dict[str, object]:
    """Return one line of a job's input file."""
    return {
        'custom_id': f'item-{number}',
        'method': 'POST',
        'url': '/v1/chat/completions',
        'body': {
            'model': model,
            'max_tokens': max_tokens,
            'messages': [{'role': 'user', 'content': prompt}],
        },
    }


def multipart_body(lines: bytes) -> tuple[bytes, dict[str, str]]:
    """Return the multipart body and the headers of a file upload."""
    boundary = secrets.token_hex()
    body = b''.join(
        (
            f'--{boundary}\r\n'.encode(),
            b'content-disposition: form-data; name="purpose"\r\n\r\nbatch\r\n',
            f'--{boundary}\r\n'.encode(),
            b'content-disposition: form-data; name="file"; ',
            b'filename="items.jsonl"\r\n\r\n',
            lines,
            f'\r\n--{boundary}--\r\n'.encode(),
        )
    )
    content_type = f'multipart/form-data; boundary={boundary}'
    return body, {
        'content-type': content_type,
        'content-length': str(len(body)),
    }


async def submit_job(
    caller: Caller,
    lines: list[dict[str, object]],
    key: str,
    deadline: dict[str, str] | None = None,
) -> dict[str, Any]:
    """Upload the input and create the job; raise RuntimeError if refused."""
    content = b'\n'.join(orjson.dumps(line) for line in lines)
    body, headers = multipart_body(content)
    stored = expect_ok(await caller.request('POST', '/v1/files', body, headers))
    job_request: dict[str, object] = {
        'input_file_id': stored['id'],
        'endpoint': '/v1/chat/completions',
    }
    if deadline:
        job_request['deadline'] = deadline
    return expect_ok(
        await caller.request(
            'POST',
            '/v1/batches',
            job_request,
            {'idempotency-key': key},
        ),
    )


async def job_results(caller: Caller, job_id: str) -> list[dict[str, Any]]:
    """Return the recorded results of a job, including failed items."""
    results: list[dict[str, Any]] = []
    for file_kind in ('output', 'errors'):
        status, content = await caller.request(
            'GET',
            f'/v1/files/{file_kind}-{job_id}/content',
        )
        if status == OK_STATUS and isinstance(content, bytes):
            results.extend(orjson.loads(line) for line in content.splitlines())
        elif status == OK_STATUS and isinstance(content, dict):
            # A file of a single line parses as a JSON document.
            results.append(content)
    return results


def expect_ok(answer: tuple[int, object]) -> dict[str, Any]:
    """Return the JSON object of a 200 response; else raise RuntimeError."""
    status, content = answer
    if status != OK_STATUS or not isinstance(content, dict):
        raise RuntimeError(f'request failed with status {status}: {content!r}')
    return content
