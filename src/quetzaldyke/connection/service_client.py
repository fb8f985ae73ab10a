"""Client of the plain service on this instance.

Small answers travel in the closing message alone; the parts of a larger one
are handed on as they arrive.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

import httpcore
from result import Err, Ok, Result

from quetzaldyke.connection.http_endpoint import (
    BROKEN,
    CONTROL_TIMEOUT_S,
    SERVER_ERROR,
    Answer,
    Connections,
    EndpointFailure,
    failure_of,
    headers_of,
    request_headers,
)
from quetzaldyke.connection.messages import Submit

PART_BYTES: Final = 65536


@dataclass(slots=True)
class ServiceClient:
    """Connections to one plain service."""

    connections: Connections

    async def healthy(self) -> bool:
        """Tell whether the service answers its health check.

        A service without a health path still proves that it is up.
        """
        try:
            async with self.connections.stream(
                'GET',
                '/health',
                read_s=CONTROL_TIMEOUT_S,
            ) as response:
                await response.aread()
        except BROKEN:
            return False
        return response.status < SERVER_ERROR

    async def run(
        self,
        submit: Submit,
        on_raw: Callable[[bytes], Awaitable[None]],
    ) -> Result[Answer, EndpointFailure]:
        """Run one request and hand on parts of a large answer."""
        try:
            async with self.connections.stream(
                submit.method,
                submit.path,
                request_headers(submit),
                submit.body,
            ) as response:
                rest = await pass_parts(response, on_raw)
                return Ok(Answer(response.status, headers_of(response), rest))
        except BROKEN as exc:
            return Err(failure_of(exc))


async def pass_parts(
    response: httpcore.Response,
    on_raw: Callable[[bytes], Awaitable[None]],
) -> bytes:
    """Hand on full parts of a body and return the rest."""
    held = bytearray()
    async for part in response.aiter_stream():
        held += part
        while len(held) >= PART_BYTES:
            await on_raw(bytes(held[:PART_BYTES]))
            del held[:PART_BYTES]
    return bytes(held)
