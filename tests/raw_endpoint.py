"""An endpoint that sends given bytes, whatever they are."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

# Returns the bytes to send, by the connection's number and the request's
# number on it, both counted from 0.
Answer = Callable[[int, int], bytes]


@dataclass(slots=True)
class RawEndpoint:
    """Answers each request with bytes; an empty answer closes."""

    answer: Answer
    # Whether each connection is closed after its first answer.
    closing: bool = False
    port: int = 0
    requests: list[bytes] = field(default_factory=list)
    writers: list[asyncio.StreamWriter] = field(default_factory=list)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        connection = len(self.writers)
        self.writers.append(writer)
        request = 0
        while not writer.is_closing():
            try:
                self.requests.append(await reader.readuntil(b'\r\n\r\n'))
            except (asyncio.IncompleteReadError, ConnectionError):
                break
            answer = self.answer(connection, request)
            request += 1
            writer.write(answer)
            if self.closing or not answer:
                break
        writer.close()


@asynccontextmanager
async def raw_endpoint(
    answer: Answer, *, closing: bool = False
) -> AsyncIterator[RawEndpoint]:
    """Run an endpoint that sends given bytes."""
    endpoint = RawEndpoint(answer, closing=closing)
    server = await asyncio.start_server(endpoint.serve, '127.0.0.1', 0)
    endpoint.port = server.sockets[0].getsockname()[1]
    try:
        yield endpoint
    finally:
        for writer in endpoint.writers:
            writer.close()
        server.close()
