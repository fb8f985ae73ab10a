"""HTTP client of the model engine on this instance.

Answers are always streamed, so that the text produced so far is known when
a stream is preempted or breaks. A stream without its end marker is incomplete
and is reported as a failure.
"""

from __future__ import annotations

from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Container,
)
from dataclasses import dataclass
from typing import Any, Final

import anyio
import httpcore
import orjson
from result import Err, Ok, Result

from quetzaldyke.connection.event_reader import EventError, EventReader
from quetzaldyke.connection.http_endpoint import (
    CONFLICT,
    CONTROL_TIMEOUT_S,
    FIRST_CLIENT_ERROR_STATUS,
    FIRST_REDIRECT_STATUS,
    FIRST_SERVER_ERROR_STATUS,
    TOO_MANY_REQUESTS,
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
    retry_after_ms,
)
from quetzaldyke.connection.messages import Order, Submit

END_MARKER: Final = '[DONE]'
MAX_ERROR_BYTES: Final = 65536
NOT_FOUND: Final = 404
CANCEL_ATTEMPTS: Final = 3
CANCEL_RETRY_DELAY_S: Final = 0.02
# Loading copies weights from the rate-limited store and can take minutes.
ORDER_TIMEOUT_S: Final = 600.0
REMAINING_TIMEOUT_S: Final = 0.1
# A control answer may take this many times the timeout of one read.
MAX_ANSWER_READS: Final = 2
# Lists of requests and cache events are the longest control answers.
MAX_CONTROL_BYTES: Final = 16_777_216


@dataclass(slots=True)
class TextDelta:
    """Text that was received in one read, and its number of tokens."""

    text: str = ''
    tokens: int = 0


@dataclass(slots=True)
class StreamState:
    """State of one stream after the events received so far."""

    finish_reason: str = ''
    prompt_tokens: int = 0
    completion_tokens: int = 0
    complete: bool = False
    error: str = ''


@dataclass(slots=True)
class EngineClient:
    """Client of one engine."""

    connections: ConnectionPool

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        read_s: float = CONTROL_TIMEOUT_S,
    ) -> Result[tuple[int, object], EndpointFailure]:
        """Make a control call and return its status and JSON content.

        The content is None if it is not JSON. Fails if the transport does, or
        if the answer is too long or takes too long as a whole.
        """
        headers = [('Content-Type', 'application/json')]
        try:
            with anyio.fail_after(MAX_ANSWER_READS * read_s):
                async with self.connections.stream(
                    method, path, headers, body, read_s
                ) as response:
                    content = await read_body(response, MAX_CONTROL_BYTES + 1)
        except TimeoutError:
            return Err(EndpointFailure('unknown', 'answer takes too long'))
        except TRANSPORT_ERRORS as exc:
            return Err(classify_error(exc))
        if len(content) > MAX_CONTROL_BYTES:
            return Err(EndpointFailure('unknown', 'answer is too long'))
        return Ok((response.status, parse_json(content)))

    async def health(self) -> Health:
        """Return what the health check of the engine states."""
        outcome = await self.call('GET', '/health')
        if isinstance(outcome, Err):
            return 'down'
        status, content = outcome.ok_value
        return health_of(status, content, FIRST_REDIRECT_STATUS)

    async def running_ids(self) -> Result[list[str], EndpointFailure]:
        """Return the ids of the streams that the engine runs."""
        outcome = await self.call('GET', '/v1/requests')
        return outcome.map(lambda reply: string_list(reply[1], 'running'))

    async def cancel(self, request_id: str, known_running: bool = True) -> None:
        """Cancel a stream; a failure is ignored.

        If the stream is not `known_running`, the cancel can arrive before its
        start. It is then retried while the engine doesn't know the stream.
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

        Orphans are not adopted, because there is no proof of which part of
        their text was delivered.
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
        """Return the cache events with a number above `after`."""
        outcome = await self.call('GET', f'/cache_events?after={after}')
        return outcome.map(lambda reply: object_list(reply[1], 'events'))

    async def order_state(self) -> Result[dict[str, object], EndpointFailure]:
        """Return the loaded model, version, adapter and highest token."""
        outcome = await self.call('GET', '/orders')
        return outcome.map(lambda reply: as_object(reply[1]))

    async def execute_order(
        self, order: Order
    ) -> Result[None, EndpointFailure]:
        """Send an order to the engine and wait until it is executed.

        The failure is `not_run` if the call was not sent or the fencing token
        was stale, otherwise `unknown`.
        """
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
            return Err(
                EndpointFailure(
                    'not_run', 'engine refused a stale fencing token'
                )
            )
        if status >= FIRST_REDIRECT_STATUS:
            return Err(EndpointFailure('unknown', f'engine status {status}'))
        return Ok(None)

    async def run(
        self,
        submit: Submit,
        on_delta: Callable[[TextDelta], Awaitable[None]],
    ) -> Result[Answer, EndpointFailure]:
        """Run one request and pass its text to `on_delta` as it arrives.

        Returns the answer without that text. A failure tells whether the
        request may have run.
        """
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
        except EventError as exc:
            return Err(EndpointFailure('unknown', str(exc)))
        except TRANSPORT_ERRORS as exc:
            return Err(classify_error(exc))


def stream_body(submit: Submit) -> bytes:
    """Return the body with the engine's stream and resume fields set.

    A body that is not a JSON object is returned unchanged.
    """
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
    """Return the outcome of a response with an error status.

    429 means that the engine did not admit the request, and it may ask for a
    pause; 409 means that another stream with this id is running. A redirect or
    a status from 500 leaves open whether the request ran; any other one is
    returned as the answer.
    """
    body = await read_body(response, MAX_ERROR_BYTES)
    if response.status == TOO_MANY_REQUESTS:
        pause_ms = retry_after_ms(response_headers(response))
        reason = 'engine is full'
        return Err(EndpointFailure('not_run', reason, retry_after_ms=pause_ms))
    if response.status == CONFLICT:
        return Err(EndpointFailure('not_run', 'request id is in use'))
    if not (
        FIRST_CLIENT_ERROR_STATUS <= response.status < FIRST_SERVER_ERROR_STATUS
    ):
        reason = f'engine status {response.status}'
        return Err(EndpointFailure('unknown', reason))
    return Ok(Answer(response.status, response_headers(response), body))


async def read_event_stream(
    response: httpcore.Response,
    on_delta: Callable[[TextDelta], Awaitable[None]],
) -> Result[Answer, EndpointFailure]:
    """Read a stream up to its end marker and return the final answer.

    Fails if the engine reports an error or the end marker is missing.
    """
    state = StreamState()
    reader = EventReader()
    stream = response.aiter_stream()
    async for raw in stream:
        delta = read_delta(reader, raw, state)
        if delta.text:
            await on_delta(delta)
        if state.complete or state.error:
            break
    if state.error:
        return Err(EndpointFailure('unknown', state.error))
    if not state.complete:
        reason = 'stream ended without its end marker'
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


def read_delta(
    reader: EventReader, raw: bytes, state: StreamState
) -> TextDelta:
    """Apply the events in `raw` up to the end of the answer.

    What follows the end marker belongs to no answer.
    """
    delta = TextDelta()
    for text in reader.feed(raw):
        apply_event(text, delta, state)
        if state.complete or state.error:
            break
    return delta


async def read_remaining(stream: AsyncIterator[bytes]) -> None:
    """Read the stream to its end, so that the connection can be reused."""
    with anyio.move_on_after(REMAINING_TIMEOUT_S):
        async for _ in stream:
            continue


def apply_event(text: str, delta: TextDelta, state: StreamState) -> None:
    """Add the data of one event to the delta and the state."""
    if text == END_MARKER:
        state.complete = True
        return
    content = parse_json(text)
    if not isinstance(content, dict):
        state.error = 'malformed event in the stream'
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
    """Set the token counts if the event has a usage object."""
    if isinstance(usage, dict):
        state.prompt_tokens = int_field(usage, 'prompt_tokens')
        state.completion_tokens = int_field(usage, 'completion_tokens')


def choice_text(choice: dict[str, Any]) -> str:
    """Return the new text of a chat completion or a text completion."""
    delta = choice.get('delta')
    if delta is not None:
        return delta.get('content') or ''
    return choice.get('text') or ''


def as_object(content: object) -> dict[str, object]:
    """Return content if it is a JSON object, otherwise an empty one."""
    return content if isinstance(content, dict) else {}


def int_field(content: object, name: str) -> int:
    """Return an integer field of an object; 0 if it has none."""
    found = as_object(content).get(name)
    return found if isinstance(found, int) else 0


def string_list(content: object, name: str) -> list[str]:
    """Return a list field of an object as strings; empty if missing."""
    found = as_object(content).get(name)
    return [str(one) for one in found] if isinstance(found, list) else []


def object_list(content: object, name: str) -> list[dict[str, object]]:
    """Return a list field of an object as objects; empty if missing."""
    found = as_object(content).get(name)
    return [as_object(one) for one in found] if isinstance(found, list) else []
