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
    CONTROL_TIMEOUT_S,
    FIRST_REDIRECT_STATUS,
    FIRST_SERVER_ERROR_STATUS,
    TRANSPORT_ERRORS,
    Answer,
    ConnectionPool,
    EndpointFailure,
    classify_error,
    read_body,
    request_headers,
    response_headers,
)
from quetzaldyke.connection.messages import Order, Submit

END_MARKER: Final = '[DONE]'
MAX_ERROR_BYTES: Final = 65536
TOO_MANY_REQUESTS: Final = 429
CONFLICT: Final = 409
NOT_FOUND: Final = 404
CANCEL_ATTEMPTS: Final = 3
CANCEL_RETRY_DELAY_S: Final = 0.02
# A load copies weights from the rate-limited store and can take minutes.
ORDER_TIMEOUT_S: Final = 600.0
REMAINING_TIMEOUT_S: Final = 0.1


@dataclass(slots=True)
class TextDelta:
    """Text and tokens that arrived together."""

    text: str = ''
    tokens: int = 0


@dataclass(slots=True)
class StreamState:
    """What the events of one stream have said so far."""

    finish_reason: str = ''
    prompt_tokens: int = 0
    completion_tokens: int = 0
    complete: bool = False
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

    connections: ConnectionPool

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
        except TRANSPORT_ERRORS as exc:
            return Err(classify_error(exc))
        return Ok((response.status, parse_json(content)))

    async def healthy(self) -> bool:
        """Tell whether the engine answers its health check."""
        outcome = await self.call('GET', '/health')
        return outcome.is_ok() and outcome.unwrap()[0] < FIRST_REDIRECT_STATUS

    async def running_ids(self) -> Result[list[str], EndpointFailure]:
        """Return the ids of the streams that the engine runs."""
        outcome = await self.call('GET', '/v1/requests')
        return outcome.map(lambda reply: string_list(reply[1], 'running'))

    async def cancel(self, request_id: str, known_running: bool = True) -> None:
        """Stop a stream.

        A cancel can overtake the start of a stream that has not been known
        to run; it is repeated when the engine does not know the stream yet.
        """
        path = f'/v1/requests/{request_id}/cancel'
        for _ in range(1 if known_running else CANCEL_ATTEMPTS):
            outcome = await self.call('POST', path)
            if isinstance(outcome, Err) or outcome.ok_value[0] != NOT_FOUND:
                return
            await anyio.sleep(0 if known_running else CANCEL_RETRY_DELAY_S)

    async def cancel_orphans(
        self,
        own_ids: Container[str],
    ) -> Result[int, EndpointFailure]:
        """Cancel every stream that is not in `own_ids`; return their number.

        Nobody could prove which part of an orphan's text was delivered, so
        orphans are never adopted.
        """
        listed = await self.running_ids()
        if isinstance(listed, Err):
            return listed
        orphan_ids = [one for one in listed.ok_value if one not in own_ids]
        for request_id in orphan_ids:
            await self.cancel(request_id)
        return Ok(len(orphan_ids))

    async def cache_events(
        self,
        after: int,
    ) -> Result[list[dict[str, object]], EndpointFailure]:
        """Return the cache events after a number."""
        outcome = await self.call('GET', f'/cache_events?after={after}')
        return outcome.map(lambda reply: object_list(reply[1], 'events'))

    async def order_state(self) -> Result[dict[str, object], EndpointFailure]:
        """Return the loaded model, version, adapter and highest token."""
        outcome = await self.call('GET', '/orders')
        return outcome.map(lambda reply: as_object(reply[1]))

    async def execute_order(
        self, order: Order
    ) -> Result[None, EndpointFailure]:
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
        if status >= FIRST_REDIRECT_STATUS:
            return Err(EndpointFailure('unknown', f'engine status {status}'))
        return Ok(None)

    async def run(
        self,
        submit: Submit,
        on_delta: Callable[[TextDelta], Awaitable[None]],
    ) -> Result[Answer, EndpointFailure]:
        """Run one request and hand on its text as it arrives."""
        try:
            async with self.connections.stream(
                submit.method,
                submit.path,
                request_headers(submit),
                stream_body(submit),
            ) as response:
                if response.status >= FIRST_REDIRECT_STATUS:
                    return await read_error_response(response)
                return await read_event_stream(response, on_delta)
        except TRANSPORT_ERRORS as exc:
            return Err(classify_error(exc))


def stream_body(submit: Submit) -> bytes:
    """Return the request's body as the engine gets it."""
    content = parse_json(submit.body)
    if not isinstance(content, dict):
        return submit.body
    content['stream'] = True
    if submit.resume_tokens or submit.resume_text:
        content['resume_text'] = submit.resume_text
        content['resume_tokens'] = submit.resume_tokens
    return orjson.dumps(content)


async def read_error_response(
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
    if response.status >= FIRST_SERVER_ERROR_STATUS:
        reason = f'engine status {response.status}'
        return Err(EndpointFailure('unknown', reason))
    return Ok(Answer(response.status, response_headers(response), body))


async def read_event_stream(
    response: httpcore.Response,
    on_delta: Callable[[TextDelta], Awaitable[None]],
) -> Result[Answer, EndpointFailure]:
    """Read a stream to its closing mark."""
    state = StreamState()
    reader = EventReader()
    stream = response.aiter_stream()
    async for raw in stream:
        delta = TextDelta()
        for text in reader.feed(raw):
            apply_event(text, delta, state)
        if delta.text:
            await on_delta(delta)
        if state.complete or state.error:
            break
    if state.error:
        return Err(EndpointFailure('unknown', state.error))
    if not state.complete:
        reason = 'stream ended without its closing mark'
        return Err(EndpointFailure('unknown', reason, broken=True))
    await read_remaining(stream)
    return Ok(
        Answer(
            response.status,
            response_headers(response),
            finish_reason=state.finish_reason,
            prompt_tokens=state.prompt_tokens,
            completion_tokens=state.completion_tokens,
        )
    )


async def read_remaining(stream: AsyncIterator[bytes]) -> None:
    """Read what follows the closing mark, so that the connection is reused."""
    with anyio.move_on_after(REMAINING_TIMEOUT_S):
        async for _ in stream:
            continue


def apply_event(text: str, delta: TextDelta, state: StreamState) -> None:
    """Add one event of the stream."""
    if text == END_MARKER:
        state.complete = True
        return
    content = parse_json(text)
    if not isinstance(content, dict):
        return
    if content.get('error'):
        state.error = 'engine reported an error in the stream'
        return
    update_usage(content.get('usage'), state)
    for choice in content.get('choices') or ():
        added = choice_text(choice)
        if added:
            delta.text += added
            delta.tokens += 1
        state.finish_reason = choice.get('finish_reason') or state.finish_reason


def update_usage(usage: object, state: StreamState) -> None:
    """Keep the token counts of an event that has them."""
    if isinstance(usage, dict):
        state.prompt_tokens = int_field(usage, 'prompt_tokens')
        state.completion_tokens = int_field(usage, 'completion_tokens')


def choice_text(choice: dict[str, Any]) -> str:
    """Return the added text of a chat or a plain completion."""
    delta = choice.get('delta')
    if delta is not None:
        return delta.get('content') or ''
    return choice.get('text') or ''


def parse_json(raw: bytes | str) -> object:
    """Return JSON content, or None for anything else."""
    try:
        return orjson.loads(raw)
    except orjson.JSONDecodeError:
        return None


def as_object(content: object) -> dict[str, object]:
    """Return JSON content as an object; empty for anything else."""
    return content if isinstance(content, dict) else {}


def int_field(content: object, name: str) -> int:
    """Return an integer field of an object; 0 when there is none."""
    found = as_object(content).get(name)
    return found if isinstance(found, int) else 0


def string_list(content: object, name: str) -> list[str]:
    """Return a list of strings from a field of an object."""
    found = as_object(content).get(name)
    return [str(one) for one in found] if isinstance(found, list) else []


def object_list(content: object, name: str) -> list[dict[str, object]]:
    """Return a list of objects from a field of an object."""
    found = as_object(content).get(name)
    return [as_object(one) for one in found] if isinstance(found, list) else []
