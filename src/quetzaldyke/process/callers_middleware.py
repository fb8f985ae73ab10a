"""Authenticates, limits and counts all requests of callers.

This is ASGI middleware, so that the routes of batches and files are covered
too. Routes find the organisation and the request id in `request.state`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Final

import anyio
from result import Err, Ok, Result
from starlette.datastructures import Headers
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from quetzaldyke.parts.api_keys import KeyDirectory, bearer_key
from quetzaldyke.parts.decimals import parse_decimal
from quetzaldyke.process.answers_http import send_refusal
from quetzaldyke.request.limits import Limits
from quetzaldyke.request.model import new_request_id
from quetzaldyke.request.outcome import (
    HTTP_BAD_REQUEST,
    HTTP_REQUEST_TIMEOUT,
    HTTP_TOO_LARGE,
    HTTP_UNAUTHORIZED,
    HTTP_UNAVAILABLE,
    Refusal,
)
from quetzaldyke.request.router import ConfigurationHolder
from quetzaldyke.version.configuration import Configuration

IDEMPOTENCY_HEADER: Final = 'idempotency-key'
RETRY_AFTER_MS: Final = 1000
AUTHORIZATION: Final = b'authorization'
# A request counts towards its organisation's concurrency limit while its
# body arrives, so the time for that is limited.
BODY_TIMEOUT_S: Final = 30.0


@dataclass(slots=True)
class KeyIndex:
    """Finds organisations by key in the current configuration."""

    holder: ConfigurationHolder
    indexed_configuration: Configuration | None = None
    directory: KeyDirectory[str] = field(default_factory=KeyDirectory)

    @property
    def has_organisations(self) -> bool:
        """Tell whether the current configuration lists any organisation."""
        return bool(self.holder.current.organisations)

    def find_organisation(self, credentials: Iterable[bytes]) -> str | None:
        """Return the organisation whose key a request shows; None if unknown.

        `credentials` are the values of its authorization headers.
        """
        key = bearer_key(credentials)
        if key is None:
            return None
        current = self.holder.current
        if current is not self.indexed_configuration:
            self.indexed_configuration = current
            self.directory = current.key_directory()
        return self.directory.find(key)


@dataclass(slots=True)
class OpenRequests:
    """Number of unanswered requests, and whether the entry shuts down."""

    count: int = 0
    closing: bool = False


@dataclass(slots=True)
class AdmissionMiddleware:
    """ASGI middleware that admits requests on the callers' listener."""

    app: ASGIApp
    keys: KeyIndex
    limits: Limits
    open_requests: OpenRequests

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Handle one request and count it as open until it is answered."""
        if scope['type'] != 'http':
            await self.app(scope, receive, send)
            return
        self.open_requests.count += 1
        try:
            await self.admit(scope, receive, self.send_with_close(send))
        finally:
            self.open_requests.count -= 1

    async def admit(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Run the route, or refuse an unknown key or a reached limit."""
        request_id = new_request_id()
        name = self.keys.find_organisation(
            content
            for header, content in scope['headers']
            if header == AUTHORIZATION
        )
        if name is None:
            refusal = (
                unauthorized() if self.keys.has_organisations else not_ready()
            )
            await send_refusal(
                send, mark_possible_resend(refusal, scope), request_id
            )
            return
        admitted = self.limits.admit(name)
        if isinstance(admitted, Err):
            refusal = mark_possible_resend(admitted.err_value, scope)
            await send_refusal(send, refusal, request_id)
            return
        state = scope.setdefault('state', {})
        state['organisation'] = name
        state['request_id'] = request_id
        try:
            await self.app(scope, receive, send)
        finally:
            self.limits.release(name)

    def send_with_close(self, send: Send) -> Send:
        """Return a `send` that adds `Connection: close` during a shutdown.

        A caller that keeps the connection open could otherwise send its
        next request just when the entry closes the connection.
        """

        async def send_message(message: Message) -> None:
            is_start = message['type'] == 'http.response.start'
            if is_start and self.open_requests.closing:
                close = (b'connection', b'close')
                message['headers'] = [*message.get('headers', ()), close]
            await send(message)

        return send_message


def mark_possible_resend(refusal: Refusal, scope: Scope) -> Refusal:
    """Return the refusal with `ran` unknown if the request may be a resend.

    An earlier attempt under the same idempotency key may have run. The
    claims would tell, but they are not read here.
    """
    if IDEMPOTENCY_HEADER not in Headers(scope=scope):
        return refusal
    return replace(refusal, ran='unknown')


def not_ready() -> Refusal:
    """Return the refusal while the entry has no configuration."""
    return Refusal(
        HTTP_UNAVAILABLE,
        'not_ready',
        'this entry has no configuration yet',
        'not_run',
        RETRY_AFTER_MS,
    )


def unauthorized() -> Refusal:
    """Return the refusal of a request without a known key."""
    return Refusal(
        HTTP_UNAUTHORIZED,
        'unknown_key',
        'a known API key is needed',
        'not_run',
    )


async def read_body(
    receive: Receive,
    headers: Headers,
    limit_bytes: int,
) -> Result[bytes, Refusal]:
    """Return a body, or a refusal if it is too large, late or incomplete.

    A body that is too large is refused without reading the rest.
    """
    with anyio.move_on_after(BODY_TIMEOUT_S):
        return await read_limited(receive, headers, limit_bytes)
    return Err(body_timed_out())


async def read_limited(
    receive: Receive,
    headers: Headers,
    limit_bytes: int,
) -> Result[bytes, Refusal]:
    """Return a body, or a refusal if it is too large or incomplete."""
    declared = parse_decimal(headers.get('content-length', '')) or 0
    if declared > limit_bytes:
        return Err(body_too_large(limit_bytes))
    body = bytearray()
    more = True
    while more:
        message = await receive()
        if message['type'] == 'http.disconnect':
            return Err(body_cut_short())
        body += message.get('body', b'')
        more = message.get('more_body', False)
        if len(body) > limit_bytes:
            return Err(body_too_large(limit_bytes))
    return Ok(bytes(body))


def body_too_large(limit_bytes: int) -> Refusal:
    """Return the refusal of a body over the limit."""
    return Refusal(
        HTTP_TOO_LARGE,
        'body_too_large',
        f'the body is over {limit_bytes} bytes',
        'not_run',
    )


def body_timed_out() -> Refusal:
    """Return the refusal of a body that exceeds `BODY_TIMEOUT_S`."""
    return Refusal(
        HTTP_REQUEST_TIMEOUT,
        'body_timeout',
        f'the body did not arrive within {BODY_TIMEOUT_S:g} s',
        'not_run',
    )


def body_cut_short() -> Refusal:
    """Return the refusal of a body cut short by a closed connection."""
    return Refusal(
        HTTP_BAD_REQUEST,
        'body_incomplete',
        'the caller closed the connection before the body was complete',
        'not_run',
    )
