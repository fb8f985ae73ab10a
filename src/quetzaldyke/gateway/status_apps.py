"""Answers the readiness probe of the load balancer, and serves the metrics.

The metrics are in the Prometheus text format.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from quetzaldyke.connection.http_server import App, Receive, Scope, Send
from quetzaldyke.gateway.received_request import AsgiCaller
from quetzaldyke.gateway.responses import send_response
from quetzaldyke.process.metrics import Metrics

STATUS_OK: Final = 200
STATUS_UNAVAILABLE: Final = 503
TEXT_TYPE: Final = (b'content-type', b'text/plain; version=0.0.4')


def readiness_app(unready_reason: Callable[[], str]) -> App:
    """Return an ASGI app for the readiness probe.

    It responds 200 if the reason is empty and 503 with the reason if not.
    """

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        reason = unready_reason().encode()
        status = STATUS_UNAVAILABLE if reason else STATUS_OK
        await send_response(AsgiCaller(send, closing=False), status, reason)

    return app


def metrics_app(metrics: Metrics) -> App:
    """Return an ASGI app that responds to any path with the metrics."""

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        body = metrics.render().encode()
        caller = AsgiCaller(send, closing=False)
        await send_response(caller, STATUS_OK, body, [TEXT_TYPE])

    return app
