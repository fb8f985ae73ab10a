"""Stand-in for a model engine.

Speaks the usual inference protocol with the vendor fields of the design's
section 17. All its timing and faults are options, so that tests and the
bench can shape it.
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
    """A running stand-in."""

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
        """Return the event that stops the stand-in."""
        return self.server.stopping


def error_response(status: int, code: str, message: str) -> Response:
    """Return an error in the protocol's shape."""
    return JSONResponse({'error': {'code': code, 'message': message}}, status)


def usage_body(stream: EngineStream) -> Body:
    """Return the usage; completion tokens include those resumed after."""
    return {
        'prompt_tokens': stream.prompt_words,
        'completion_tokens': stream.next_token,
        'total_tokens': stream.prompt_words + stream.next_token,
        'prompt_tokens_details': {'cached_tokens': stream.cached_words},
    }


def choice_body(
    path: str, text: str, reason: str | None, complete_answer: bool
) -> Body:
    """Return the one choice of a chunk or of a whole answer."""
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
    """Return a chunk or a whole answer around a choice."""
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
    """Yield the chunks; a stream that was broken off has no end mark."""
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
    """End a stream whose connection has gone."""
    if not engine.options.keep_orphans and not stream.finish_reason:
        engine.batch.end(stream)


async def non_streaming_response(
    engine: EngineStandin,
    request: Request,
    stream: EngineStream,
) -> Response:
    """Return the answer in one piece, unless the client leaves."""
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
    """Answer a completion or chat request."""
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


async def get_health(_engine: EngineStandin, _request: Request) -> Response:
    """Tell that the engine runs."""
    return JSONResponse({'status': 'ok'})


async def list_models(engine: EngineStandin, _request: Request) -> Response:
    """List the loaded model."""
    state = engine.orders
    loaded = {'id': state.model, 'object': 'model', 'version': state.version}
    listed = [loaded] if state.model and not state.loading else []
    return JSONResponse({'object': 'list', 'data': listed})


async def list_requests(engine: EngineStandin, _request: Request) -> Response:
    """List the requests that run or wait."""
    return JSONResponse({'running': engine.batch.ids()})


async def cancel_request(engine: EngineStandin, request: Request) -> Response:
    """Cancel a request."""
    if engine.batch.cancel(request.path_params['id']):
        return JSONResponse({'cancelled': True})
    return error_response(404, 'no_request', 'no such request')


async def export_cache(engine: EngineStandin, request: Request) -> Response:
    """Return the KV cache of a request."""
    prefixes = engine.batch.exports.get(request.path_params['id'])
    if prefixes is None:
        return error_response(404, 'no_request', 'no such request')
    packed = msgpack.packb([engine.orders.model, prefixes])
    return Response(packed, media_type='application/octet-stream')


async def import_cache(engine: EngineStandin, request: Request) -> Response:
    """Adopt an exported KV cache of the same model."""
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
    """Return the last load report, which lags."""
    return JSONResponse(engine.load_report)


async def get_cache_events(engine: EngineStandin, request: Request) -> Response:
    """Return the cache events after a number."""
    after = int(request.query_params.get('after', 0))
    return JSONResponse({'events': engine.batch.cache.events_after(after)})


async def get_orders(engine: EngineStandin, _request: Request) -> Response:
    """Return what the engine was ordered to be."""
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
    """Return the route that takes orders; they are carried out later."""

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
            return await handler(engine, request)

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
    """Return a stand-in that is not yet served."""
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
    """Renew the load report at its interval."""
    while True:
        engine.load_report = engine.batch.load()
        await anyio.sleep(engine.options.load_report_lag_s)


async def reset_while_down(engine: EngineStandin) -> None:
    """Lose all state while the process is gone."""
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
