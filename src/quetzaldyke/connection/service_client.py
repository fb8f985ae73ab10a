"""HTTP client of a service on this instance that is not a model engine.

A small response is returned as a whole, to be sent in the End message alone.
A larger one is forwarded in chunks as they arrive.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

import anyio
import httpcore
from result import Err, Ok, Result

from quetzaldyke.connection.http_endpoint import (
    CONTROL_TIMEOUT_S,
    FIRST_SERVER_ERROR_STATUS,
    TRANSPORT_ERRORS,
    Answer,
    ConnectionPool,
    EndpointFailure,
    Health,
    classify_error,
    health_of,
    parse_json,
    read_body,
    request_headers,
    response_headers,
)
from quetzaldyke.connection.messages import Submit

CHUNK_BYTES: Final = 65536
HEALTH_ERRORS = (TimeoutError, *TRANSPORT_ERRORS)
MAX_HEALTH_BYTES: Final = 1_048_576
# Several reads, each with its own timeout, may take so long together.
MAX_HEALTH_S: Final = 2 * CONTROL_TIMEOUT_S


@dataclass(slots=True)
class ServiceClient:
    """Client of one service."""

    connections: ConnectionPool

    async def health(self) -> Health:
        """Return what the health check of the service states.

        A 404 is accepted, because a service without a health path is up too.
        An answer that is too long, or takes too long as a whole, is not.
        """
        try:
            with anyio.fail_after(MAX_HEALTH_S):
                async with self.connections.stream(
                    'GET', '/health', read_s=CONTROL_TIMEOUT_S
                ) as response:
                    body = await read_body(response, MAX_HEALTH_BYTES + 1)
        except HEALTH_ERRORS:
            return 'down'
        if len(body) > MAX_HEALTH_BYTES:
            return 'down'
        content = parse_json(body)
        return health_of(response.status, content, FIRST_SERVER_ERROR_STATUS)

    async def run(
        self,
        submit: Submit,
        on_chunk: Callable[[bytes], Awaitable[None]],
    ) -> Result[Answer, EndpointFailure]:
        """Run one request and pass full chunks of its body to `on_chunk`.

        Returns the answer with the rest of the body. A failure tells whether
        the request may have run.
        """
        try:
            async with self.connections.stream(
                submit.method,
                submit.path,
                request_headers(submit),
                submit.body,
            ) as response:
                remaining = await forward_chunks(response, on_chunk)
                return Ok(
                    Answer(
                        response.status, response_headers(response), remaining
                    )
                )
        except TRANSPORT_ERRORS as exc:
            return Err(classify_error(exc))


async def forward_chunks(
    response: httpcore.Response,
    on_chunk: Callable[[bytes], Awaitable[None]],
) -> bytes:
    """Pass full chunks of a body to `on_chunk` and return the rest."""
    buffered = bytearray()
    async for chunk in response.aiter_stream():
        buffered += chunk
        while len(buffered) >= CHUNK_BYTES:
            await on_chunk(bytes(buffered[:CHUNK_BYTES]))
            del buffered[:CHUNK_BYTES]
    return bytes(buffered)
