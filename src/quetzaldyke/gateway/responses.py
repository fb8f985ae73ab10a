"""Sends complete HTTP responses to callers."""

from __future__ import annotations

from quetzaldyke.gateway.online_request import Caller, Headers
from quetzaldyke.platform import names


async def send_response(
    caller: Caller,
    status: int,
    body: bytes = b'',
    headers: Headers | None = None,
) -> None:
    """Send a complete response with its content length."""
    length = (b'content-length', b'%d' % len(body))
    await caller.start(status, [*(headers or []), length])
    if body:
        await caller.send(body)
    await caller.finish()


async def send_refusal(caller: Caller, status: int, retry_after: bytes) -> None:
    """Send a response without a body that states when to retry."""
    await send_response(caller, status, b'', [(names.RETRY_AFTER, retry_after)])
