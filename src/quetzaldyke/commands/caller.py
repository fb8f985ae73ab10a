"""A caller over HTTP, for the demo and the bench."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Final

import httpcore
import orjson

from quetzaldyke.connection.engine_client import EventReader, Progress, absorb
from quetzaldyke.connection.engine_client import Piece as Part
from quetzaldyke.connection.http_endpoint import make_pool

OK_STATUS: Final = 200
TIMEOUTS: Final = {
    'timeout': {'connect': 10.0, 'pool': 10.0, 'write': 30.0, 'read': 60.0},
}


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
        headers: dict[str, str] | None = None,
    ) -> tuple[int, object]:
        """Make a plain call and return status and JSON content."""
        content = body if isinstance(body, bytes) else orjson.dumps(body)
        response = await self.pool.request(
            method,
            f'http://{self.address}{path}',
            headers=self.headers() | (headers or {}),
            content=content if body is not None else None,
            extensions=TIMEOUTS,
        )
        try:
            return response.status, orjson.loads(response.content)
        except orjson.JSONDecodeError:
            return response.status, response.content

    def headers(self) -> dict[str, str]:
        """Return the headers of each call."""
        return {
            'authorization': f'Bearer {self.key}',
            'content-type': 'application/json',
        }

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
    progress = Progress()
    reader = EventReader()
    last_s = 0.0
    async for raw in response.aiter_stream():
        part = Part()
        for text in reader.feed(raw):
            absorb(text, part, progress)
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
    outcome.whole = progress.whole and not progress.error
    outcome.error = progress.error
