"""Simulates a model engine for tests and benchmarks.

Serves the usual inference protocol with the vendor extensions of section 17
of the design. Timing is configurable, and faults can be switched at run time.
"""

from __future__ import annotations

import dataclasses
import json
import time
import uuid
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Final

import anyio
import msgpack
from anyio.abc import TaskGroup, TaskStatus
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from quetzaldyke.standins import engine_text
from quetzaldyke.standins.engine_batch import (
    Batch,
    EngineCounts,
    EngineStream,
)
from quetzaldyke.standins.engine_cache import PrefixCache
from quetzaldyke.standins.engine_options import EngineFaults, EngineOptions
from quetzaldyke.standins.engine_orders import ACTIONS, OrderState
from quetzaldyke.standins.faults import InterruptibleServer, control_routes

CHAT_PATH: Final = '/v1/chat/completions'
TEXT_PATH: Final = '/v1/completions'

Body = dict[str, Any]


@dataclass(slots=True)
class EngineStandin:
    """A simulated engine: its options, faults, state and HTTP server."""

    options: EngineOptions
    faults: EngineFaults
    counts: EngineCounts
    batch: Batch
    orders: OrderState
    server: InterruptibleServer
    load_report: Body = field(default_factory=dict)

    @property
    def address(self) -> str:
        """Return the bound address."""
        return self.server.address

    @property
    def stopping(self) -> anyio.Event:
        """Return the event that stops the stand-in once it is set."""
        return self.server.stopping


def error_response(status: int, code: str, message: str) -> Response:
    """Return an error response in the format of the protocol."""
    return JSONResponse({'error': {'code': code, 'message': message}}, status)


def too_many_requests(retry_after_s: int) -> Response:
    """Return a refusal that asks the client to pause."""
    response = error_response(429, 'overloaded', 'the engine is full')
    response.headers['Retry-After'] = str(retry_after_s)
    return response


def usage_body(stream: EngineStream) -> Body:
    """Return token usage; completion tokens include the resumed-from ones."""
    return {
        'prompt_tokens': stream.prompt_words,
        'completion_tokens': stream.next_token,
        'total_tokens': stream.prompt_words + stream.next_token,
        'prompt_tokens_details': {'cached_tokens': stream.cached_words},
    }


def choice_body(
    path: str, text: str, reason: str | None, complete_answer: bool
) -> Body:
    """Return the only choice of a streamed chunk or complete response."""
    choice: Body = {'index': 0, 'finish_reason': reason}
    if path == TEXT_PATH:
        choice['text'] = text
    elif complete_answer:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['delta'] = {'content': text}
    return choice


def completion_body(
    engine: EngineStandin,
    path: str,
    stream: EngineStream,
    choice: Body,
) -> Body:
    """Return the body of a streamed chunk or complete response."""
    kind = 'chat.completion' if path == CHAT_PATH else 'text_completion'
    return {
        'id': stream.request_id,
        'object': kind,
        'model': engine.orders.model,
        'choices': [choice],
    }


async def sse_events(
    engine: EngineStandin,
    path: str,
    stream: EngineStream,
) -> AsyncIterator[str]:
    """Yield server-sent events; an aborted stream has no `[DONE]` event."""
    try:
        async for index in stream.source:
            text = engine_text.token_text(stream.prompt, index)
            choice = choice_body(path, text, None, complete_answer=False)
            body = completion_body(engine, path, stream, choice)
            yield f'data: {json.dumps(body)}\n\n'
        if stream.finish_reason:
            last = choice_body(
                path, '', stream.finish_reason, complete_answer=False
            )
            body = completion_body(engine, path, stream, last)
            body['usage'] = usage_body(stream)
            yield f'data: {json.dumps(body)}\n\n'
            yield 'data: [DONE]\n\n'
    finally:
        end_disconnected(engine, stream)


def end_disconnected(engine: EngineStandin, stream: EngineStream) -> None:
    """End an unfinished stream after a disconnect, unless orphans are kept."""
    if not engine.options.keep_orphans and not stream.finish_reason:
        engine.batch.end(stream)


async def non_streaming_response(
    engine: EngineStandin,
    request: Request,
    stream: EngineStream,
) -> Response:
    """Return the complete response; abort if the stream does not finish."""
    path = request.url.path
    texts: list[str] = []

    async def watch_client() -> None:
        while not await request.is_disconnected():
            await anyio.sleep(0.02)
        end_disconnected(engine, stream)

    async with anyio.create_task_group() as group:
        group.start_soon(watch_client)
        async for index in stream.source:
            texts.append(engine_text.token_text(stream.prompt, index))
        group.cancel_scope.cancel()
    if not stream.finish_reason:
        return engine.server.abort_connection(request)
    text = ''.join(texts)
    choice = choice_body(path, text, stream.finish_reason, complete_answer=True)
    body = completion_body(engine, path, stream, choice)
    body['usage'] = usage_body(stream)
    return JSONResponse(body)


async def create_completion(
    engine: EngineStandin, request: Request
) -> Response:
    """Run a text or chat completion request.

    Returns 400 for an invalid prompt and 409 if the request id is in use.
    """
    if engine.faults.refuse_for_s:
        engine.counts.refused += 1
        return too_many_requests(engine.faults.refuse_for_s)
    body = await request.json()
    prompt = engine_text.prompt_text(body)
    if engine_text.INVALID_WORD in prompt:
        return error_response(400, 'invalid_request', 'the prompt is invalid')
    request_id = request.headers.get('x-request-id') or uuid.uuid4().hex
    if engine.batch.find(request_id) is not None:
        return error_response(
            409, 'request_exists', 'this request id is running'
        )
    stream = engine.batch.submit(
        request_id,
        prompt,
        int(body.get('resume_tokens') or 0),
        int(body.get('max_tokens') or engine_text.DEFAULT_MAX_TOKENS),
    )
    if not body.get('stream', False):
        return await non_streaming_response(engine, request, stream)
    return StreamingResponse(
        sse_events(engine, request.url.path, stream),
        media_type='text/event-stream',
        headers={'X-Request-Id': request_id},
    )


async def get_health(engine: EngineStandin, _request: Request) -> Response:
    """Report that the engine is running or drains."""
    if engine.faults.leaving:
        return JSONResponse({'status': 'draining'}, 503)
    return JSONResponse({'status': 'ok'})


async def list_models(engine: EngineStandin, _request: Request) -> Response:
    """List the loaded model; omit a model that is still loading."""
    state = engine.orders
    loaded = {'id': state.model, 'object': 'model', 'version': state.version}
    listed = [loaded] if state.model and not state.loading else []
    return JSONResponse({'object': 'list', 'data': listed})


async def list_requests(engine: EngineStandin, _request: Request) -> Response:
    """List the ids of running and waiting requests."""
    return JSONResponse({'running': engine.batch.ids()})


async def cancel_request(engine: EngineStandin, request: Request) -> Response:
    """Cancel a running or waiting request; return 404 if unknown."""
    if engine.batch.cancel(request.path_params['id']):
        return JSONResponse({'cancelled': True})
    return error_response(404, 'no_request', 'no such request')


async def export_cache(engine: EngineStandin, request: Request) -> Response:
    """Export the KV cache of a request; return 404 if unknown."""
    prefixes = engine.batch.exports.get(request.path_params['id'])
    if prefixes is None:
        return error_response(404, 'no_request', 'no such request')
    packed = msgpack.packb([engine.orders.model, prefixes])
    return Response(packed, media_type='application/octet-stream')


async def import_cache(engine: EngineStandin, request: Request) -> Response:
    """Import an exported KV cache.

    Returns 400 if it is malformed and 409 if it is of another model.
    """
    try:
        model, prefixes = msgpack.unpackb(await request.body())
    except (ValueError, TypeError, msgpack.UnpackException):
        return error_response(400, 'invalid_cache', 'not an exported cache')
    if model != engine.orders.model:
        return error_response(
            409, 'other_model', 'the cache is of another model'
        )
    engine.batch.cache.store(prefixes)
    return JSONResponse({'blocks': len(prefixes)})


async def get_load(engine: EngineStandin, _request: Request) -> Response:
    """Return the last load report, which can be out of date."""
    return JSONResponse(engine.load_report)


async def get_cache_events(engine: EngineStandin, request: Request) -> Response:
    """Return the cache events after a given event number."""
    after = int(request.query_params.get('after', 0))
    return JSONResponse({'events': engine.batch.cache.events_after(after)})


async def get_orders(engine: EngineStandin, _request: Request) -> Response:
    """Return the state that results from the orders applied so far."""
    return JSONResponse(engine.orders.as_dict())


HANDLERS: Final[
    dict[
        tuple[str, str], Callable[[EngineStandin, Request], Awaitable[Response]]
    ]
] = {
    ('POST', CHAT_PATH): create_completion,
    ('POST', TEXT_PATH): create_completion,
    ('GET', '/health'): get_health,
    ('GET', '/v1/models'): list_models,
    ('GET', '/v1/requests'): list_requests,
    ('POST', '/v1/requests/{id}/cancel'): cancel_request,
    ('POST', '/v1/requests/{id}/export'): export_cache,
    ('POST', '/v1/requests/{id}/import'): import_cache,
    ('GET', '/load'): get_load,
    ('GET', '/cache_events'): get_cache_events,
    ('GET', '/orders'): get_orders,
}


def orders_route(engine: EngineStandin, group: TaskGroup) -> Route:
    """Return the route that accepts orders; they are applied in `group`."""

    async def post_order(request: Request) -> Response:
        order = await request.json()
        if order.get('action') not in ACTIONS:
            return error_response(400, 'unknown_action', 'unknown action')
        token = int(order.get('fencing_token', 0))
        if not engine.orders.accepts(token):
            return JSONResponse(engine.orders.as_dict(), 409)
        group.start_soon(engine.orders.apply, order)
        await anyio.sleep(0)
        return JSONResponse(engine.orders.as_dict())

    return Route('/orders', post_order, methods=['POST'])


def make_app(engine: EngineStandin, group: TaskGroup) -> Starlette:
    """Return the HTTP app of a stand-in."""

    def bind_engine(
        handler: Callable[[EngineStandin, Request], Awaitable[Response]],
    ) -> Callable[[Request], Awaitable[Response]]:
        async def endpoint(request: Request) -> Response:
            response = await handler(engine, request)
            if engine.faults.leaving:
                response.headers['X-Endpoint-Leaving'] = '1'
            return response

        return endpoint

    def counts() -> Body:
        return dataclasses.asdict(engine.counts)

    routes = [
        Route(path, bind_engine(handler), methods=[method])
        for (method, path), handler in HANDLERS.items()
    ]
    routes.append(orders_route(engine, group))
    routes.extend(control_routes(engine.faults, counts))
    return Starlette(routes=routes)


def make_standin(options: EngineOptions) -> EngineStandin:
    """Return a stand-in that does not serve requests yet."""
    faults = EngineFaults()
    counts = EngineCounts()
    cache = PrefixCache(
        options.cache_blocks,
        time.monotonic,
        options.cache_event_lag_s,
        options.cache_event_gap_every,
    )
    batch = Batch(options, faults, counts, cache)
    orders = OrderState(
        options.model,
        options.version,
        options.check_tokens,
        options.load_model_s,
    )
    server = InterruptibleServer(lambda: batch.is_down)
    return EngineStandin(options, faults, counts, batch, orders, server)


async def report_load(engine: EngineStandin) -> None:
    """Update the load report periodically."""
    while True:
        engine.load_report = engine.batch.load()
        await anyio.sleep(engine.options.load_report_lag_s)


async def reset_while_down(engine: EngineStandin) -> None:
    """Discard the engine state while the engine is down."""
    while True:
        if engine.batch.is_down:
            engine.batch.reset()
            engine.orders.highest_token = 0
        await anyio.sleep(0.01)


async def run_engine(
    options: EngineOptions,
    *,
    task_status: TaskStatus[EngineStandin] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run the stand-in until it is stopped or cancelled."""
    engine = make_standin(options)
    async with anyio.create_task_group() as group:
        group.start_soon(engine.batch.run)
        group.start_soon(report_load, engine)
        group.start_soon(reset_while_down, engine)
        await group.start(
            engine.server.serve,
            make_app(engine, group),
            options.address,
        )
        task_status.started(engine)
        await engine.server.stopped.wait()
        group.cancel_scope.cancel()
