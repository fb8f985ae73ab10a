"""Client of the model engine on this instance.

Answers are always streamed, so that the text produced so far is known when
a stream is preempted or breaks. A stream without its closing mark is
incomplete and never passed off as an answer.
"""

from __future__ import annotations

import codecs
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Container,
    Iterator,
)
from dataclasses import dataclass, field
from typing import Any, Final

import anyio
import httpcore
import orjson
from httpx_sse._decoders import SSEDecoder, SSELineDecoder
from result import Err, Ok, Result

from quetzaldyke.connection.http_endpoint import (
    BROKEN,
    CONTROL_TIMEOUT_S,
    SERVER_ERROR,
    SUCCESS_LIMIT,
    Answer,
    Connections,
    EndpointFailure,
    failure_of,
    headers_of,
    read_body,
    request_headers,
)
from quetzaldyke.connection.messages import Order, Submit

DONE_MARK: Final = '[DONE]'
MAX_ERROR_BYTES: Final = 65536
TOO_MANY_REQUESTS: Final = 429
CONFLICT: Final = 409
NOT_FOUND: Final = 404
CANCEL_TRIES: Final = 3
CANCEL_PAUSE_S: Final = 0.02
# A load copies weights from the rate-limited store and can take minutes.
ORDER_TIMEOUT_S: Final = 600.0
TAIL_WAIT_S: Final = 0.1


@dataclass(slots=True)
class Piece:
    """Text and tokens that arrived together."""

    text: str = ''
    tokens: int = 0


@dataclass(slots=True)
class Progress:
    """What the events of one stream have said so far."""

    finish_reason: str = ''
    prompt_tokens: int = 0
    completion_tokens: int = 0
    whole: bool = False
    error: str = ''


def utf8_decoder() -> codecs.IncrementalDecoder:
    """Return a decoder that keeps the start of a cut character."""
    return codecs.getincrementaldecoder('utf-8')('replace')


@dataclass(slots=True)
class EventReader:
    """Server-sent events out of parts of a body."""

    utf8: codecs.IncrementalDecoder = field(default_factory=utf8_decoder)
    lines: SSELineDecoder = field(default_factory=SSELineDecoder)
    events: SSEDecoder = field(default_factory=SSEDecoder)

    def feed(self, raw: bytes) -> Iterator[str]:
        """Yield the data of the events that are complete now."""
        for line in self.lines.decode(self.utf8.decode(raw)):
            event = self.events.decode(line)
            if event is not None:
                yield event.data


@dataclass(slots=True)
class EngineClient:
    """Connections to one engine."""

    connections: Connections

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        read_s: float = CONTROL_TIMEOUT_S,
    ) -> Result[tuple[int, object], EndpointFailure]:
        """Make a control call and return its status and JSON content."""
        try:
            async with self.connections.stream(
                method,
                path,
                [('Content-Type', 'application/json')],
                body,
                read_s,
            ) as response:
                content = await response.aread()
        except BROKEN as exc:
            return Err(failure_of(exc))
        return Ok((response.status, parse(content)))

    async def healthy(self) -> bool:
        """Tell whether the engine answers its health check."""
        outcome = await self.call('GET', '/health')
        return outcome.is_ok() and outcome.unwrap()[0] < SUCCESS_LIMIT

    async def running_ids(self) -> Result[list[str], EndpointFailure]:
        """Return the ids of the streams that the engine runs."""
        outcome = await self.call('GET', '/v1/requests')
        return outcome.map(lambda reply: texts(reply[1], 'running'))

    async def cancel(self, request_id: str, seen: bool = True) -> None:
        """Stop a stream.

        A cancel can overtake the start of a stream that has not been `seen`
        to run; it is repeated when the engine does not know the stream yet.
        """
        path = f'/v1/requests/{request_id}/cancel'
        for _ in range(1 if seen else CANCEL_TRIES):
            outcome = await self.call('POST', path)
            if isinstance(outcome, Err) or outcome.ok_value[0] != NOT_FOUND:
                return
            await anyio.sleep(0 if seen else CANCEL_PAUSE_S)

    async def cancel_orphans(
        self,
        own: Container[str],
    ) -> Result[int, EndpointFailure]:
        """Cancel every stream that is not `own`; return their number.

        Nobody could prove which part of an orphan's text was delivered, so
        orphans are never adopted.
        """
        listed = await self.running_ids()
        if isinstance(listed, Err):
            return listed
        orphans = [one for one in listed.ok_value if one not in own]
        for request_id in orphans:
            await self.cancel(request_id)
        return Ok(len(orphans))

    async def cache_events(
        self,
        after: int,
    ) -> Result[list[dict[str, object]], EndpointFailure]:
        """Return the cache events after a number."""
        outcome = await self.call('GET', f'/cache_events?after={after}')
        return outcome.map(lambda reply: rows(reply[1], 'events'))

    async def order_state(self) -> Result[dict[str, object], EndpointFailure]:
        """Return the loaded model, version, adapter and highest token."""
        outcome = await self.call('GET', '/orders')
        return outcome.map(lambda reply: mapping(reply[1]))

    async def give_order(self, order: Order) -> Result[None, EndpointFailure]:
        """Hand an order to the engine and wait until it is carried out."""
        body = orjson.dumps(
            {
                'action': order.action,
                'model': order.model,
                'version': order.version,
                'adapter': order.adapter,
                'role': order.role,
                'fencing_token': order.fencing_token,
            }
        )
        outcome = await self.call('POST', '/orders', body, ORDER_TIMEOUT_S)
        if isinstance(outcome, Err):
            return outcome
        status, _ = outcome.ok_value
        if status == CONFLICT:
            return Err(EndpointFailure('not_run', 'engine: stale token'))
        if status >= SUCCESS_LIMIT:
            return Err(EndpointFailure('unknown', f'engine status {status}'))
        return Ok(None)

    async def run(
        self,
        submit: Submit,
        on_piece: Callable[[Piece], Awaitable[None]],
    ) -> Result[Answer, EndpointFailure]:
        """Run one request and hand on its text as it arrives."""
        try:
            async with self.connections.stream(
                submit.method,
                submit.path,
                request_headers(submit),
                stream_body(submit),
            ) as response:
                if response.status >= SUCCESS_LIMIT:
                    return await refused(response)
                return await read_answer(response, on_piece)
        except BROKEN as exc:
            return Err(failure_of(exc))


def stream_body(submit: Submit) -> bytes:
    """Return the request's body as the engine gets it."""
    content = parse(submit.body)
    if not isinstance(content, dict):
        return submit.body
    content['stream'] = True
    if submit.resume_tokens or submit.resume_text:
        content['resume_text'] = submit.resume_text
        content['resume_tokens'] = submit.resume_tokens
    return orjson.dumps(content)


async def refused(
    response: httpcore.Response,
) -> Result[Answer, EndpointFailure]:
    """Return the outcome of a response without a stream.

    The protocol's 429 says that the engine did not admit the request, and
    409 that another stream of this id runs.
    """
    body = await read_body(response, MAX_ERROR_BYTES)
    if response.status == TOO_MANY_REQUESTS:
        return Err(EndpointFailure('not_run', 'engine is full'))
    if response.status == CONFLICT:
        return Err(EndpointFailure('not_run', 'request id is in use'))
    if response.status >= SERVER_ERROR:
        reason = f'engine status {response.status}'
        return Err(EndpointFailure('unknown', reason))
    return Ok(Answer(response.status, headers_of(response), body))


async def read_answer(
    response: httpcore.Response,
    on_piece: Callable[[Piece], Awaitable[None]],
) -> Result[Answer, EndpointFailure]:
    """Read a stream to its closing mark."""
    progress = Progress()
    reader = EventReader()
    stream = response.aiter_stream()
    async for raw in stream:
        piece = Piece()
        for text in reader.feed(raw):
            absorb(text, piece, progress)
        if piece.text:
            await on_piece(piece)
        if progress.whole or progress.error:
            break
    if progress.error:
        return Err(EndpointFailure('unknown', progress.error))
    if not progress.whole:
        reason = 'stream ended without its closing mark'
        return Err(EndpointFailure('unknown', reason, broken=True))
    await read_tail(stream)
    return Ok(
        Answer(
            response.status,
            headers_of(response),
            finish_reason=progress.finish_reason,
            prompt_tokens=progress.prompt_tokens,
            completion_tokens=progress.completion_tokens,
        )
    )


async def read_tail(stream: AsyncIterator[bytes]) -> None:
    """Read what follows the closing mark, so that the connection is reused."""
    with anyio.move_on_after(TAIL_WAIT_S):
        async for _ in stream:
            continue


def absorb(text: str, piece: Piece, progress: Progress) -> None:
    """Add one event of the stream."""
    if text == DONE_MARK:
        progress.whole = True
        return
    content = parse(text)
    if not isinstance(content, dict):
        return
    if content.get('error'):
        progress.error = 'engine reported an error in the stream'
        return
    note_usage(content.get('usage'), progress)
    for choice in content.get('choices') or ():
        added = choice_text(choice)
        if added:
            piece.text += added
            piece.tokens += 1
        progress.finish_reason = (
            choice.get('finish_reason') or progress.finish_reason
        )


def note_usage(usage: object, progress: Progress) -> None:
    """Keep the token counts of an event that has them."""
    if isinstance(usage, dict):
        progress.prompt_tokens = number(usage, 'prompt_tokens')
        progress.completion_tokens = number(usage, 'completion_tokens')


def choice_text(choice: dict[str, Any]) -> str:
    """Return the added text of a chat or a plain completion."""
    delta = choice.get('delta')
    if delta is not None:
        return delta.get('content') or ''
    return choice.get('text') or ''


def parse(raw: bytes | str) -> object:
    """Return JSON content, or None for anything else."""
    try:
        return orjson.loads(raw)
    except orjson.JSONDecodeError:
        return None


def mapping(content: object) -> dict[str, object]:
    """Return JSON content as an object; empty for anything else."""
    return content if isinstance(content, dict) else {}


def number(content: object, name: str) -> int:
    """Return an integer field of an object; 0 when there is none."""
    found = mapping(content).get(name)
    return found if isinstance(found, int) else 0


def texts(content: object, name: str) -> list[str]:
    """Return a list of strings from a field of an object."""
    found = mapping(content).get(name)
    return [str(one) for one in found] if isinstance(found, list) else []


def rows(content: object, name: str) -> list[dict[str, object]]:
    """Return a list of objects from a field of an object."""
    found = mapping(content).get(name)
    return [mapping(one) for one in found] if isinstance(found, list) else []
