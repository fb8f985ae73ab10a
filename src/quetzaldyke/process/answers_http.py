"""Renders answers for callers: whole JSON documents and SSE streams.

The status of a stream waits for its first part, so that a request that
never started gets a plain error document. Later failures end the stream
with an `error` event and without the closing mark.
"""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing
from dataclasses import dataclass
from typing import Final

import anyio
import orjson
from starlette.types import Receive, Scope, Send

from quetzaldyke.request.model import CHAT_PATH, OnlineRequest
from quetzaldyke.request.outcome import (
    HTTP_BAD_REQUEST,
    HTTP_OK,
    AnswerEnd,
    AnswerEvent,
    AnswerText,
    CompleteAnswer,
    Refusal,
    collect,
    incomplete,
)

JSON_TYPE: Final = (b'content-type', b'application/json')
SSE_HEADERS: Final = (
    (b'content-type', b'text/event-stream; charset=utf-8'),
    (b'cache-control', b'no-store'),
)
DONE_EVENT: Final = b'data: [DONE]\n\n'
# A caller that stops reading holds its request no longer than this after
# the deadline.
READING_GRACE_S: Final = 5.0
# Headers of an endpoint that speak of one hop or of the body's coding.
DROPPED_HEADERS: Final = frozenset(
    (
        'connection',
        'content-length',
        'date',
        'keep-alive',
        'server',
        'transfer-encoding',
        'upgrade',
    ),
)

Headers = list[tuple[bytes, bytes]]
Events = AsyncIterator[AnswerEvent]
MakeEvents = Callable[[], Events]


def encode_headers(headers: dict[str, str]) -> Headers:
    """Return headers as ASGI sends them."""
    return [
        (name.lower().encode('latin-1'), content.encode('latin-1', 'replace'))
        for name, content in headers.items()
    ]


async def send_whole(
    send: Send,
    status: int,
    headers: Headers,
    body: bytes,
) -> None:
    """Send a response with a known length."""
    length = (b'content-length', str(len(body)).encode())
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [*headers, length],
        },
    )
    await send({'type': 'http.response.body', 'body': body})


async def send_refusal(send: Send, refusal: Refusal, request_id: str) -> None:
    """Send an error document."""
    headers = encode_headers(
        {**refusal.headers(), 'x-request-id': request_id},
    )
    body = orjson.dumps(refusal.body(request_id))
    await send_whole(send, refusal.status, [JSON_TYPE, *headers], body)


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """ASGI response of a refusal."""

    refusal: Refusal
    request_id: str

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Send the error document."""
        await send_refusal(send, self.refusal, self.request_id)


async def cancel_on_disconnect(
    receive: Receive,
    scope: anyio.CancelScope,
) -> None:
    """Cancel the request's task when its caller is gone."""
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            scope.cancel()
            return


async def run_until_disconnect(
    receive: Receive,
    remaining_s: float,
    work: Callable[[], Awaitable[None]],
) -> None:
    """Run the sending of an answer as long as the caller reads it."""
    async with anyio.create_task_group() as group:
        deadline_s = anyio.current_time() + remaining_s + READING_GRACE_S
        group.cancel_scope.deadline = deadline_s
        group.start_soon(cancel_on_disconnect, receive, group.cancel_scope)
        await work()
        group.cancel_scope.cancel()


@dataclass(frozen=True, slots=True)
class Shape:
    """Fixed fields of one generation answer."""

    request: OnlineRequest
    created: int

    @property
    def chat(self) -> bool:
        """Tell whether this is a chat answer."""
        return self.request.path == CHAT_PATH

    def head(self, kind: str) -> dict[str, object]:
        """Return the fields that every document of the answer has."""
        return {
            'id': self.request.request_id,
            'object': kind,
            'created': self.created,
            'model': self.request.model,
        }

    def chunk_parts(self) -> tuple[bytes, bytes]:
        """Return what goes before and after the text of a chunk.

        Only the text differs between chunks; encoding the whole document
        for each token takes several times as long.
        """
        kind = 'chat.completion.chunk' if self.chat else 'text_completion'
        head = orjson.dumps(self.head(kind))[:-1]
        content = b'"delta":{"content":' if self.chat else b'"text":'
        closing = b'}' if self.chat else b''
        before = b'data: %s,"choices":[{"index":0,%s' % (head, content)
        return before, b'%s,"finish_reason":null}]}\n\n' % closing

    def final_chunk(self, end: AnswerEnd) -> bytes:
        """Return the last chunk, with the finish reason and the usage."""
        kind = 'chat.completion.chunk' if self.chat else 'text_completion'
        empty: dict[str, object] = {'delta': {}} if self.chat else {'text': ''}
        document = {
            **self.head(kind),
            'choices': [
                {'index': 0, **empty, 'finish_reason': end.finish_reason},
            ],
        }
        if self.request.include_usage:
            document['usage'] = usage_of(end)
        return b'data: %s\n\n' % orjson.dumps(document)

    def whole(self, answer: CompleteAnswer) -> bytes:
        """Return the document of an answer that is not streamed."""
        if self.chat:
            kind = 'chat.completion'
            content: dict[str, object] = {
                'message': {'role': 'assistant', 'content': answer.text},
            }
        else:
            kind = 'text_completion'
            content = {'text': answer.text}
        reason = answer.end.finish_reason
        return orjson.dumps(
            {
                **self.head(kind),
                'choices': [{'index': 0, **content, 'finish_reason': reason}],
                'usage': usage_of(answer.end),
            },
        )


def usage_of(end: AnswerEnd) -> dict[str, int]:
    """Return the token counts of an answer."""
    return {
        'prompt_tokens': end.prompt_tokens,
        'completion_tokens': end.completion_tokens,
        'total_tokens': end.prompt_tokens + end.completion_tokens,
    }


def engine_refusal(end: AnswerEnd) -> Refusal:
    """Return the refusal of a request that the engine rejected."""
    message = f'the engine answered with status {end.status}'
    code = 'rejected'
    try:
        document = orjson.loads(end.body)
    except orjson.JSONDecodeError:
        document = None
    found = document.get('error') if isinstance(document, dict) else None
    if isinstance(found, dict):
        message = str(found.get('message', message))
        code = str(found.get('code') or code)
    return Refusal(end.status, code, message, 'ran')


def error_event(refusal: Refusal, request_id: str) -> bytes:
    """Return the SSE event that ends a broken stream."""
    document = orjson.dumps(refusal.body(request_id))
    return b'event: error\ndata: %s\n\n' % document


@dataclass(slots=True)
class StreamWriter:
    """Sends one SSE answer."""

    send: Send
    shape: Shape
    before: bytes
    after: bytes
    started: bool = False

    @classmethod
    def of(cls, send: Send, shape: Shape) -> StreamWriter:
        """Return the writer of an answer."""
        return cls(send, shape, *shape.chunk_parts())

    async def write(self, event: AnswerEvent) -> bool:
        """Send one event; False once the answer has ended."""
        match event:
            case AnswerText(text=text):
                await self.start()
                body = b'%s%s%s' % (self.before, orjson.dumps(text), self.after)
                await self.send_part(body, more=True)
                return True
            case AnswerEnd(status=status) if status >= HTTP_BAD_REQUEST:
                await self.refuse(engine_refusal(event))
            case AnswerEnd():
                await self.start()
                body = self.shape.final_chunk(event) + DONE_EVENT
                await self.send_part(body, more=False)
            case Refusal():
                await self.refuse(event)
            case _:
                await self.refuse(incomplete('the answer is not text'))
        return False

    async def start(self) -> None:
        """Send the status and headers once."""
        if self.started:
            return
        self.started = True
        request_id = self.shape.request.request_id.encode()
        await self.send(
            {
                'type': 'http.response.start',
                'status': HTTP_OK,
                'headers': [*SSE_HEADERS, (b'x-request-id', request_id)],
            },
        )

    async def send_part(self, body: bytes, more: bool) -> None:
        """Send bytes of the stream."""
        await self.send(
            {'type': 'http.response.body', 'body': body, 'more_body': more},
        )

    async def refuse(self, refusal: Refusal) -> None:
        """Send an error document, or an error event in mid-stream."""
        request_id = self.shape.request.request_id
        if not self.started:
            await send_refusal(self.send, refusal, request_id)
            return
        await self.send_part(error_event(refusal, request_id), more=False)


@dataclass(frozen=True, slots=True)
class StreamResponse:
    """ASGI response that streams a generation."""

    shape: Shape
    make_events: MakeEvents
    remaining_s: float

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Run the request and relay it while the caller is there."""
        writer = StreamWriter.of(send, self.shape)

        async def relay() -> None:
            events = self.make_events()
            async with aclosing(events) as opened:  # type: ignore[type-var]
                async for event in opened:
                    if not await writer.write(event):
                        return
            await writer.refuse(incomplete('the answer has no end mark'))

        await run_until_disconnect(receive, self.remaining_s, relay)


@dataclass(frozen=True, slots=True)
class WholeResponse:
    """ASGI response with a whole answer of a model or a plain service."""

    request: OnlineRequest
    make_events: MakeEvents
    remaining_s: float

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Run the request and send its answer."""

        async def run() -> None:
            answer = await collect(self.make_events())
            await self.send_answer(send, answer)

        await run_until_disconnect(receive, self.remaining_s, run)

    async def send_answer(
        self,
        send: Send,
        answer: CompleteAnswer | Refusal,
    ) -> None:
        """Send the answer in the form of the endpoint's kind."""
        request_id = self.request.request_id
        if isinstance(answer, Refusal):
            await send_refusal(send, answer, request_id)
            return
        if self.request.kind == 'service':
            await send_service_answer(send, answer, request_id)
            return
        if answer.end.status >= HTTP_BAD_REQUEST:
            await send_refusal(send, engine_refusal(answer.end), request_id)
            return
        body = Shape(self.request, now_s()).whole(answer)
        marker = (b'x-request-id', request_id.encode())
        await send_whole(send, HTTP_OK, [JSON_TYPE, marker], body)


async def send_service_answer(
    send: Send,
    answer: CompleteAnswer,
    request_id: str,
) -> None:
    """Send a plain service's answer as it is."""
    headers = {
        name: content
        for name, content in answer.end.headers.items()
        if name.lower() not in DROPPED_HEADERS
    }
    headers['x-request-id'] = request_id
    await send_whole(
        send,
        answer.end.status,
        encode_headers(headers),
        answer.raw,
    )


def now_s() -> int:
    """Return the wall time for the `created` field."""
    return int(time.time())
