"""A caller over HTTP, for the demo and the bench."""

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
    EventReader,
    StreamState,
    apply_event,
)
from quetzaldyke.connection.engine_client import TextDelta as Part

OK_STATUS: Final = 200
MS_IN_S: Final = 1000
UUID_BYTES: Final = 16
TIME_BYTES: Final = 6
VERSION_BYTE: Final = 6
VERSION_BITS: Final = 0x70
LOW_NIBBLE: Final = 0xF
VARIANT_BYTE: Final = 8
VARIANT: Final = 0x80
VARIANT_REST: Final = 0x3F
TIMEOUTS: Final = {
    'timeout': {'connect': 10.0, 'pool': 10.0, 'write': 30.0, 'read': 60.0},
}

MAX_CONNECTIONS: Final = 1024
KEEPALIVE_S: Final = 4.0


def make_pool() -> httpcore.AsyncConnectionPool:
    """Return the connections to one address."""
    return httpcore.AsyncConnectionPool(
        max_connections=MAX_CONNECTIONS,
        keepalive_expiry=KEEPALIVE_S,
    )


@dataclass(slots=True)
class ChatOutcome:
    """What the caller saw of one request."""

    status: int = 0
    text: str = ''
    tokens: int = 0
    whole: bool = False
    error: str = ''
    first_s: float = 0.0
    gaps_s: list[float] = field(default_factory=list)


@dataclass(slots=True)
class Caller:
    """Connections of one organisation's caller to one entry."""

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
        """Make a plain call and return status and JSON content."""
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
        more: Mapping[str, str] | None = None,
    ) -> list[tuple[str, str]]:
        """Return the headers of a call."""
        named = {
            'authorization': f'Bearer {self.key}',
            'content-type': 'application/json',
        }
        return list((named | dict(more or {})).items())

    async def chat(
        self,
        model: str,
        prompt: str,
        max_tokens: int,
        intended_s: float | None = None,
    ) -> ChatOutcome:
        """Stream one chat completion."""
        outcome = ChatOutcome()
        began_s = time.monotonic() if intended_s is None else intended_s
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
                await read_stream(response, outcome, began_s)
        except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
            outcome.error = repr(exc)
        except httpcore.TimeoutException as exc:
            outcome.error = repr(exc)
        return outcome


async def read_stream(
    response: httpcore.Response,
    outcome: ChatOutcome,
    began_s: float,
) -> None:
    """Read a stream of chunks into the outcome."""
    if response.status != OK_STATUS:
        outcome.error = (await response.aread()).decode('utf-8', 'replace')
        return
    progress = StreamState()
    reader = EventReader()
    last_s = 0.0
    async for raw in response.aiter_stream():
        part = Part()
        for text in reader.feed(raw):
            apply_event(text, part, progress)
        if not part.text:
            continue
        now_s = time.monotonic()
        if outcome.tokens:
            outcome.gaps_s.append((now_s - last_s) / max(1, part.tokens))
        else:
            outcome.first_s = now_s - began_s
        last_s = now_s
        outcome.text += part.text
        outcome.tokens += part.tokens
    outcome.whole = progress.complete and not progress.error
    outcome.error = progress.error


def new_key() -> str:
    """Return a UUIDv7: the time in ms and random bits."""
    stamp = int(time.time() * MS_IN_S).to_bytes(TIME_BYTES, 'big')
    raw = bytearray(stamp + secrets.token_bytes(UUID_BYTES - TIME_BYTES))
    raw[VERSION_BYTE] = VERSION_BITS | raw[VERSION_BYTE] & LOW_NIBBLE
    raw[VARIANT_BYTE] = VARIANT | raw[VARIANT_BYTE] & VARIANT_REST
    return str(uuid.UUID(bytes=bytes(raw)))


def item_line(
    number: int,
    model: str,
    prompt: str,
    max_tokens: int,
) -> dict[str, object]:
    """Return one line of a job's input."""
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


def multipart(lines: bytes) -> tuple[bytes, dict[str, str]]:
    """Return the body and headers of an upload."""
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
    kind = f'multipart/form-data; boundary={boundary}'
    return body, {'content-type': kind, 'content-length': str(len(body))}


async def submit_job(
    caller: Caller,
    lines: list[dict[str, object]],
    key: str,
    deadline: dict[str, str] | None = None,
) -> dict[str, Any]:
    """Upload the input and create the job; raises on a refusal."""
    content = b'\n'.join(orjson.dumps(line) for line in lines)
    body, headers = multipart(content)
    stored = expect(await caller.request('POST', '/v1/files', body, headers))
    order: dict[str, object] = {
        'input_file_id': stored['id'],
        'endpoint': '/v1/chat/completions',
    }
    if deadline:
        order['deadline'] = deadline
    return expect(
        await caller.request(
            'POST',
            '/v1/batches',
            order,
            {'idempotency-key': key},
        ),
    )


async def job_results(caller: Caller, job_id: str) -> list[dict[str, Any]]:
    """Return the recorded results of a job, failures included."""
    found: list[dict[str, Any]] = []
    for kind in ('output', 'errors'):
        status, content = await caller.request(
            'GET',
            f'/v1/files/{kind}-{job_id}/content',
        )
        if status == OK_STATUS and isinstance(content, bytes):
            found.extend(orjson.loads(line) for line in content.splitlines())
        elif status == OK_STATUS and isinstance(content, dict):
            # A single line is a JSON document by itself.
            found.append(content)
    return found


def expect(answer: tuple[int, object]) -> dict[str, Any]:
    """Return the document of a successful call."""
    status, content = answer
    if status != OK_STATUS or not isinstance(content, dict):
        raise RuntimeError(f'refused with {status}: {content!r}')
    return content
