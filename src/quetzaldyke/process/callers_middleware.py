"""What every caller's request passes first: key, limits and counting.

It is plain ASGI around the routes, so that the routes of batches and files
are covered in the same way. Routes find the organisation and the request id
in `request.state`.
"""

from __future__ import annotations

import hmac
from dataclasses import dataclass, field, replace
from typing import Final

import anyio
from result import Err, Ok, Result
from starlette.datastructures import Headers
from starlette.types import ASGIApp, Message, Receive, Scope, Send

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
from quetzaldyke.version.configuration import Configuration, hash_key

IDEMPOTENCY_HEADER: Final = 'idempotency-key'
RETRY_AFTER_MS: Final = 1000
BEARER: Final = 'bearer '
# A caller that sends slower than this holds a place of its organisation.
BODY_TIMEOUT_S: Final = 30.0


@dataclass(slots=True)
class KeyIndex:
    """Organisations by the hash of their key, for one configuration."""

    holder: ConfigurationHolder
    source: Configuration | None = None
    names: dict[str, str] = field(default_factory=dict)

    @property
    def known(self) -> bool:
        """Tell whether the entry has a configuration with organisations."""
        return bool(self.holder.current.organisations)

    def find(self, key: str) -> str | None:
        """Return the organisation of a bearer key."""
        current = self.holder.current
        if current is not self.source:
            self.source = current
            self.names = {
                organisation.key_sha256: name
                for name, organisation in current.organisations.items()
            }
        digest = hash_key(key)
        name = self.names.get(digest)
        if name is None:
            return None
        # The lookup already compared digests; this keeps the last step
        # free of timing that depends on the key.
        expected = current.organisations[name].key_sha256
        return name if hmac.compare_digest(expected, digest) else None


@dataclass(slots=True)
class OpenRequests:
    """Requests of callers that are not yet answered."""

    count: int = 0
    closing: bool = False


@dataclass(slots=True)
class AdmissionMiddleware:
    """ASGI middleware of the callers' listener."""

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
        """Admit one request and count it until it is answered."""
        if scope['type'] != 'http':
            await self.app(scope, receive, send)
            return
        self.open_requests.count += 1
        try:
            await self.admit(scope, receive, self.closing_send(send))
        finally:
            self.open_requests.count -= 1

    async def admit(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Check the key and the limits, then run the route."""
        request_id = new_request_id()
        name = self.keys.find(bearer_of(scope))
        if name is None:
            refusal = unauthorized() if self.keys.known else not_ready()
            await send_refusal(send, of_resend(refusal, scope), request_id)
            return
        admitted = self.limits.admit(name)
        if isinstance(admitted, Err):
            refusal = of_resend(admitted.err_value, scope)
            await send_refusal(send, refusal, request_id)
            return
        state = scope.setdefault('state', {})
        state['organisation'] = name
        state['request_id'] = request_id
        try:
            await self.app(scope, receive, send)
        finally:
            self.limits.release(name)

    def closing_send(self, send: Send) -> Send:
        """Return a `send` that ends the connection during a planned stop.

        A caller that keeps the connection open would otherwise send its
        next request into the closing of it.
        """

        async def send_closing(message: Message) -> None:
            is_start = message['type'] == 'http.response.start'
            if is_start and self.open_requests.closing:
                close = (b'connection', b'close')
                message['headers'] = [*message.get('headers', ()), close]
            await send(message)

        return send_closing


def bearer_of(scope: Scope) -> str:
    """Return the bearer key of a request; empty when there is none."""
    text = Headers(scope=scope).get('authorization', '')
    if not text.lower().startswith(BEARER):
        return ''
    return text[len(BEARER) :].strip()


def of_resend(refusal: Refusal, scope: Scope) -> Refusal:
    """Return what a refusal says of a request that may be a resend.

    An earlier attempt under the same idempotency key may have run, and the
    claims that would tell are not read here.
    """
    if IDEMPOTENCY_HEADER not in Headers(scope=scope):
        return refusal
    return replace(refusal, ran='unknown')


def not_ready() -> Refusal:
    """Return the refusal of an entry that has no configuration yet."""
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
    """Read a body, or refuse it as soon as it is too large or too slow."""
    with anyio.move_on_after(BODY_TIMEOUT_S):
        return await read_within(receive, headers, limit_bytes)
    return Err(too_slow())


async def read_within(
    receive: Receive,
    headers: Headers,
    limit_bytes: int,
) -> Result[bytes, Refusal]:
    """Read a body without a time limit."""
    declared = headers.get('content-length', '')
    if declared.isdecimal() and int(declared) > limit_bytes:
        return Err(too_large(limit_bytes))
    body = bytearray()
    more = True
    while more:
        message = await receive()
        if message['type'] == 'http.disconnect':
            return Err(broken_off())
        body += message.get('body', b'')
        more = message.get('more_body', False)
        if len(body) > limit_bytes:
            return Err(too_large(limit_bytes))
    return Ok(bytes(body))


def too_large(limit_bytes: int) -> Refusal:
    """Return the refusal of a body over the limit."""
    return Refusal(
        HTTP_TOO_LARGE,
        'body_too_large',
        f'the body is over {limit_bytes} bytes',
        'not_run',
    )


def too_slow() -> Refusal:
    """Return the refusal of a body that arrives too slowly."""
    return Refusal(
        HTTP_REQUEST_TIMEOUT,
        'body_timeout',
        f'the body did not arrive within {BODY_TIMEOUT_S:g} s',
        'not_run',
    )


def broken_off() -> Refusal:
    """Return the refusal of a body that did not arrive whole."""
    return Refusal(
        HTTP_BAD_REQUEST,
        'body_incomplete',
        'the caller closed the connection before the body was complete',
        'not_run',
    )
