"""Answers the readiness probe of the load balancer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from quetzaldyke.connection.http_server import App, Receive, Scope, Send
from quetzaldyke.gateway.received_request import AsgiCaller
from quetzaldyke.gateway.responses import send_response

STATUS_OK: Final = 200
STATUS_UNAVAILABLE: Final = 503


def readiness_app(unready_reason: Callable[[], str]) -> App:
    """Return an ASGI app for the readiness probe.

    It responds 200 if the reason is empty and 503 with the reason if not.
    """

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        reason = unready_reason().encode()
        status = STATUS_UNAVAILABLE if reason else STATUS_OK
        await send_response(AsgiCaller(send, closing=False), status, reason)

    return app
