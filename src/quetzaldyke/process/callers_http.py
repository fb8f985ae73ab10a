"""Callers' HTTP routes for generation, models and plain services.

Each route builds one `OnlineRequest` and passes it to the request layer.
The routes of files and batches are added by another module.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from result import Err, Ok, Result
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import BaseRoute, Route
from starlette.types import ASGIApp

from quetzaldyke.parts.decimals import parse_decimal
from quetzaldyke.parts.timers import Clock
from quetzaldyke.process.answers_http import (
    AnswerFormat,
    CompleteResponse,
    ErrorResponse,
    MakeEvents,
    StreamResponse,
    unix_time_s,
)
from quetzaldyke.process.callers_middleware import (
    AdmissionMiddleware,
    KeyIndex,
    OpenRequests,
    read_body,
)
from quetzaldyke.process.forwarded_requests import (
    forwarded_headers,
    service_path,
)
from quetzaldyke.process.settings import EntrySettings
from quetzaldyke.request.execute import ExecuteContext, execute_online
from quetzaldyke.request.fingerprint import fingerprint
from quetzaldyke.request.limits import Limits
from quetzaldyke.request.model import (
    CHAT_PATH,
    GenerationBody,
    OnlineRequest,
    parse_generation,
)
from quetzaldyke.request.once import OnceContext, execute_once
from quetzaldyke.request.outcome import (
    HTTP_NOT_FOUND,
    HTTP_UNPROCESSABLE,
    MS_IN_S,
    Refusal,
)
from quetzaldyke.request.prefixes import prefix_hashes, prompt_of
from quetzaldyke.request.prompt_parts import prompt_parts
from quetzaldyke.request.router import ConfigurationHolder

HTTP_INTERNAL_ERROR: Final = 500
COMPLETIONS_PATH: Final = '/v1/completions'
METHODS: Final = ('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST', 'PATCH')
IDEMPOTENT_METHODS: Final = frozenset(
    ('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'),
)
# Longest timeout that a caller may request: one hour.
MAX_TIMEOUT_MS: Final = 3_600_000
PLAIN_NAME: Final = re.compile('^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$')


@dataclass(frozen=True, slots=True)
class CallersContext:
    """Dependencies of the callers' routes."""

    settings: EntrySettings
    clock: Clock
    holder: ConfigurationHolder
    execute: ExecuteContext
    once: OnceContext

    def event_source(self, request: OnlineRequest) -> MakeEvents:
        """Return what runs a request, at most once unless idempotent."""
        if request.idempotent:
            return lambda: execute_online(self.execute, request)
        return lambda: execute_once(self.once, request)


@dataclass(frozen=True, slots=True)
class CallOptions:
    """Options that a caller sets in the headers of a request."""

    deadline_s: float
    idempotent: bool
    idempotency_key: str


def unprocessable(code: str, message: str) -> Refusal:
    """Return the refusal of a request with invalid content."""
    return Refusal(HTTP_UNPROCESSABLE, code, message, 'not_run')


def not_found(message: str) -> Refusal:
    """Return the refusal of a request for something that does not exist."""
    return Refusal(HTTP_NOT_FOUND, 'not_found', message, 'not_run')


def read_timeout_ms(
    text: str | None,
    default_ms: int,
) -> Result[int, Refusal]:
    """Return the caller's timeout or the default; a refusal if invalid."""
    if text is None:
        return Ok(default_ms)
    number = parse_decimal(text, MAX_TIMEOUT_MS + 1) or 0
    if not 0 < number <= MAX_TIMEOUT_MS:
        message = f'X-Request-Timeout-Ms must be 1 to {MAX_TIMEOUT_MS}'
        return Err(unprocessable('invalid_timeout', message))
    return Ok(number)


def read_options(
    context: CallersContext,
    http: Request,
    idempotent_by_default: bool,
) -> Result[CallOptions, Refusal]:
    """Return the options in a request's headers; a refusal if invalid."""
    default_ms = int(context.settings.request_timeout_s * MS_IN_S)
    stated = http.headers.get('x-request-timeout-ms')
    timeout = read_timeout_ms(stated, default_ms)
    if isinstance(timeout, Err):
        return timeout
    flag = http.headers.get('x-idempotent', '').lower()
    if flag not in {'', 'true', 'false'}:
        message = 'X-Idempotent must be true or false'
        return Err(unprocessable('invalid_header', message))
    return Ok(
        CallOptions(
            context.clock.now() + timeout.ok_value / MS_IN_S,
            flag == 'true' if flag else idempotent_by_default,
            http.headers.get('idempotency-key', ''),
        ),
    )


def pool_of_model(holder: ConfigurationHolder, model: str) -> str | None:
    """Return the engine pool for a caller's `model`; None if there is none.

    A pool with this name takes precedence over the first pool that serves
    a model with this name.
    """
    pools = holder.current.pools
    named = pools.get(model)
    if named is not None and named.kind == 'engine':
        return model
    for name, pool in pools.items():
        if pool.kind == 'engine' and pool.model == model:
            return name
    return None


def generation_request(
    http: Request,
    pool: str,
    body: GenerationBody,
    raw: bytes,
    options: CallOptions,
) -> OnlineRequest:
    """Build the request of a generation route."""
    path = http.url.path
    usage_options = body.stream_options
    return OnlineRequest(
        request_id=http.state.request_id,
        organisation=http.state.organisation,
        pool=pool,
        kind='engine',
        method='POST',
        path=path,
        headers=forwarded_headers(http),
        body=raw,
        stream=body.stream,
        idempotent=options.idempotent,
        deadline_s=options.deadline_s,
        fingerprint=fingerprint(pool, path, raw),
        idempotency_key=options.idempotency_key,
        model=body.model,
        prefixes=prefix_hashes(prompt_of(body)),
        parts=prompt_parts(pool, raw),
        include_usage=usage_options is not None and usage_options.include_usage,
    )


async def prepare_generation(
    context: CallersContext,
    http: Request,
) -> Result[OnlineRequest, Refusal]:
    """Read a generation request; return a refusal if it is invalid."""
    read = await read_body(
        http.receive,
        http.headers,
        context.settings.max_body_bytes,
    )
    if isinstance(read, Err):
        return read
    raw = read.ok_value
    parsed = parse_generation(http.url.path, raw)
    if isinstance(parsed, Err):
        return parsed
    body = parsed.ok_value
    pool = pool_of_model(context.holder, body.model)
    if pool is None:
        return Err(not_found(f'no pool serves the model {body.model!r}'))
    options = read_options(context, http, idempotent_by_default=True)
    return options.map(
        lambda valid: generation_request(http, pool, body, raw, valid),
    )


async def generate(context: CallersContext, http: Request) -> ASGIApp:
    """Handle `/v1/chat/completions` and `/v1/completions`."""
    prepared = await prepare_generation(context, http)
    if isinstance(prepared, Err):
        return ErrorResponse(prepared.err_value, http.state.request_id)
    request = prepared.ok_value
    make_events = context.event_source(request)
    remaining_s = request.deadline_s - context.clock.now()
    if request.stream:
        answer_format = AnswerFormat(request, unix_time_s())
        return StreamResponse(answer_format, make_events, remaining_s)
    return CompleteResponse(request, make_events, remaining_s)


async def list_models(context: CallersContext, http: Request) -> ASGIApp:
    """Handle `/v1/models`: list the engine pools."""
    names = [
        name
        for name, pool in context.holder.current.pools.items()
        if pool.kind == 'engine'
    ]
    return JSONResponse(
        {
            'object': 'list',
            'data': [
                {'id': name, 'object': 'model', 'owned_by': 'fleet'}
                for name in sorted(names)
            ],
        },
    )


async def prepare_service(
    context: CallersContext,
    http: Request,
) -> Result[OnlineRequest, Refusal]:
    """Read a request to a plain service; return a refusal if invalid."""
    pool = http.path_params['pool']
    service = context.holder.current.pools.get(pool)
    if service is None or service.kind != 'service':
        return Err(not_found(f'there is no service {pool!r}'))
    path = service_path(http.scope, pool)
    if path is None:
        return Err(not_found('the name of the service is encoded'))
    read = await read_body(
        http.receive,
        http.headers,
        context.settings.max_body_bytes,
    )
    if isinstance(read, Err):
        return read
    options = read_options(context, http, http.method in IDEMPOTENT_METHODS)
    if isinstance(options, Err):
        return options
    return Ok(
        OnlineRequest(
            request_id=http.state.request_id,
            organisation=http.state.organisation,
            pool=pool,
            kind='service',
            method=http.method,
            path=path,
            headers=forwarded_headers(http),
            body=read.ok_value,
            stream=False,
            idempotent=options.ok_value.idempotent,
            deadline_s=options.ok_value.deadline_s,
            fingerprint=fingerprint(
                pool,
                f'{http.method} {path}',
                read.ok_value,
            ),
            idempotency_key=options.ok_value.idempotency_key,
        ),
    )


async def call_service(context: CallersContext, http: Request) -> ASGIApp:
    """Handle `/services/{pool}/{path}`."""
    prepared = await prepare_service(context, http)
    if isinstance(prepared, Err):
        return ErrorResponse(prepared.err_value, http.state.request_id)
    request = prepared.ok_value
    remaining_s = request.deadline_s - context.clock.now()
    return CompleteResponse(request, context.event_source(request), remaining_s)


async def not_found_response(http: Request, _: Exception) -> Response:
    """Return the response to an unknown path or method."""
    refusal = not_found(f'{http.method} {http.url.path} does not exist')
    document = refusal.body(http.state.request_id)
    return JSONResponse(document, refusal.status)


async def internal_error_response(http: Request, exc: Exception) -> Response:
    """Return a 500 that names only the type of the handler's exception."""
    refusal = Refusal(
        HTTP_INTERNAL_ERROR,
        'internal_fault',
        f'the entry failed: {type(exc).__name__}',
        'unknown',
    )
    document = refusal.body(http.state.request_id)
    return JSONResponse(document, refusal.status)


def caller_routes(context: CallersContext) -> list[BaseRoute]:
    """Return the routes of online requests."""

    async def on_generate(http: Request) -> ASGIApp:
        return await generate(context, http)

    async def on_models(http: Request) -> ASGIApp:
        return await list_models(context, http)

    async def on_service(http: Request) -> ASGIApp:
        return await call_service(context, http)

    return [
        Route(CHAT_PATH, on_generate, methods=['POST']),
        Route(COMPLETIONS_PATH, on_generate, methods=['POST']),
        Route('/v1/models', on_models, methods=['GET']),
        Route('/services/{pool}', on_service, methods=list(METHODS)),
        Route(
            '/services/{pool}/{path:path}',
            on_service,
            methods=list(METHODS),
        ),
    ]


def callers_app(
    context: CallersContext,
    limits: Limits,
    open_requests: OpenRequests,
    more_routes: Sequence[BaseRoute],
) -> AdmissionMiddleware:
    """Return the callers' application, wrapped in the admission."""
    app = Starlette(
        routes=[*caller_routes(context), *more_routes],
        exception_handlers={
            404: not_found_response,
            405: not_found_response,
            Exception: internal_error_response,
        },
    )
    return AdmissionMiddleware(
        app, KeyIndex(context.holder), limits, open_requests
    )
