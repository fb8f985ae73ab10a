"""Sends answers to callers as JSON documents or SSE streams.

The status of a stream is sent with its first event, so that a request that
fails before gets a plain error document. A later failure ends the stream
with an `error` event and without the final `[DONE]`.
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
# Time after the deadline at which a request ends even if its caller does
# not read the answer.
READING_GRACE_S: Final = 5.0
# Headers of an endpoint's response that apply to one hop only or describe
# the transfer of its body.
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
    """Return headers in ASGI form; replaces characters not in Latin-1."""
    return [
        (name.lower().encode('latin-1'), content.encode('latin-1', 'replace'))
        for name, content in headers.items()
    ]


async def send_response(
    send: Send,
    status: int,
    headers: Headers,
    body: bytes,
) -> None:
    """Send a complete response with its content length."""
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
    """Send a refusal as a JSON error document."""
    headers = encode_headers(
        {**refusal.headers(), 'x-request-id': request_id},
    )
    body = orjson.dumps(refusal.body(request_id))
    await send_response(send, refusal.status, [JSON_TYPE, *headers], body)


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """ASGI response with an error document."""

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
    """Cancel `scope` when the caller disconnects."""
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
    """Run `work`; cancel it when the caller disconnects or at the deadline.

    The deadline is `READING_GRACE_S` after the remaining time of the request.
    """
    async with anyio.create_task_group() as group:
        deadline_s = anyio.current_time() + remaining_s + READING_GRACE_S
        group.cancel_scope.deadline = deadline_s
        group.start_soon(cancel_on_disconnect, receive, group.cancel_scope)
        await work()
        group.cancel_scope.cancel()


@dataclass(frozen=True, slots=True)
class AnswerFormat:
    """Builds the JSON documents of one generation answer."""

    request: OnlineRequest
    created: int

    @property
    def chat(self) -> bool:
        """Tell whether the request is a chat completion."""
        return self.request.path == CHAT_PATH

    def common_fields(self, kind: str) -> dict[str, object]:
        """Return the fields common to all documents of the answer."""
        return {
            'id': self.request.request_id,
            'object': kind,
            'created': self.created,
            'model': self.request.model,
        }

    def chunk_affixes(self) -> tuple[bytes, bytes]:
        """Return the encoded chunk before and after its text.

        Only the text differs between chunks; encoding the whole document
        for each token takes several times as long.
        """
        kind = 'chat.completion.chunk' if self.chat else 'text_completion'
        fields = orjson.dumps(self.common_fields(kind))[:-1]
        content = b'"delta":{"content":' if self.chat else b'"text":'
        closing = b'}' if self.chat else b''
        before = b'data: %s,"choices":[{"index":0,%s' % (fields, content)
        return before, b'%s,"finish_reason":null}]}\n\n' % closing

    def final_chunk(self, end: AnswerEnd) -> bytes:
        """Return the last chunk, with the finish reason and any usage."""
        kind = 'chat.completion.chunk' if self.chat else 'text_completion'
        empty: dict[str, object] = {'delta': {}} if self.chat else {'text': ''}
        document = {
            **self.common_fields(kind),
            'choices': [
                {'index': 0, **empty, 'finish_reason': end.finish_reason},
            ],
        }
        if self.request.include_usage:
            document['usage'] = token_usage(end)
        return b'data: %s\n\n' % orjson.dumps(document)

    def full_document(self, answer: CompleteAnswer) -> bytes:
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
                **self.common_fields(kind),
                'choices': [{'index': 0, **content, 'finish_reason': reason}],
                'usage': token_usage(answer.end),
            },
        )


def token_usage(end: AnswerEnd) -> dict[str, int]:
    """Return the `usage` object of an answer."""
    return {
        'prompt_tokens': end.prompt_tokens,
        'completion_tokens': end.completion_tokens,
        'total_tokens': end.prompt_tokens + end.completion_tokens,
    }


def engine_refusal(end: AnswerEnd) -> Refusal:
    """Return the refusal for an engine's error, with its code and message."""
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
    """Return the SSE event that ends a failed stream."""
    document = orjson.dumps(refusal.body(request_id))
    return b'event: error\ndata: %s\n\n' % document


@dataclass(slots=True)
class StreamWriter:
    """Sends one answer as an SSE stream."""

    send: Send
    answer_format: AnswerFormat
    before: bytes
    after: bytes
    started: bool = False

    @classmethod
    def create(cls, send: Send, answer_format: AnswerFormat) -> StreamWriter:
        """Return a writer that has sent nothing yet."""
        return cls(send, answer_format, *answer_format.chunk_affixes())

    async def write(self, event: AnswerEvent) -> bool:
        """Send one event; return False if it ended the answer."""
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
                body = self.answer_format.final_chunk(event) + DONE_EVENT
                await self.send_part(body, more=False)
            case Refusal():
                await self.refuse(event)
            case _:
                await self.refuse(incomplete('the answer is not text'))
        return False

    async def start(self) -> None:
        """Send status 200 and the SSE headers, unless sent already."""
        if self.started:
            return
        self.started = True
        request_id = self.answer_format.request.request_id.encode()
        await self.send(
            {
                'type': 'http.response.start',
                'status': HTTP_OK,
                'headers': [*SSE_HEADERS, (b'x-request-id', request_id)],
            },
        )

    async def send_part(self, body: bytes, more: bool) -> None:
        """Send a part of the body."""
        await self.send(
            {'type': 'http.response.body', 'body': body, 'more_body': more},
        )

    async def refuse(self, refusal: Refusal) -> None:
        """Send an error event, or an error document before the start."""
        request_id = self.answer_format.request.request_id
        if not self.started:
            await send_refusal(self.send, refusal, request_id)
            return
        await self.send_part(error_event(refusal, request_id), more=False)


@dataclass(frozen=True, slots=True)
class StreamResponse:
    """ASGI response that streams a generation."""

    answer_format: AnswerFormat
    make_events: MakeEvents
    remaining_s: float

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Run the request and stream its answer to the caller."""
        writer = StreamWriter.create(send, self.answer_format)

        async def stream_answer() -> None:
            events = self.make_events()
            async with aclosing(events) as stream:  # type: ignore[type-var]
                async for event in stream:
                    if not await writer.write(event):
                        return
            await writer.refuse(incomplete('the answer has no end mark'))

        await run_until_disconnect(receive, self.remaining_s, stream_answer)


@dataclass(frozen=True, slots=True)
class CompleteResponse:
    """ASGI response with a complete answer of a model or plain service."""

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
        """Send a refusal, a service's response or a generation document."""
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
        body = AnswerFormat(self.request, unix_time_s()).full_document(answer)
        id_header = (b'x-request-id', request_id.encode())
        await send_response(send, HTTP_OK, [JSON_TYPE, id_header], body)


async def send_service_answer(
    send: Send,
    answer: CompleteAnswer,
    request_id: str,
) -> None:
    """Send a plain service's response unchanged but for its headers."""
    headers = {
        name: content
        for name, content in answer.end.headers.items()
        if name.lower() not in DROPPED_HEADERS
    }
    headers['x-request-id'] = request_id
    await send_response(
        send,
        answer.end.status,
        encode_headers(headers),
        answer.raw,
    )


def unix_time_s() -> int:
    """Return the Unix time in seconds, for the `created` field."""
    return int(time.time())
