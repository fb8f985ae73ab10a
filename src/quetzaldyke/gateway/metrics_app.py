"""Serves the metrics of a process in the Prometheus text format."""

from __future__ import annotations

from typing import Final

from quetzaldyke.connection.http_server import App, Receive, Scope, Send
from quetzaldyke.gateway.received_request import AsgiCaller
from quetzaldyke.gateway.responses import send_response
from quetzaldyke.process.metrics import Metrics

TEXT_TYPE: Final = (b'content-type', b'text/plain; version=0.0.4')
STATUS_OK: Final = 200


def metrics_app(metrics: Metrics) -> App:
    """Return an ASGI app that responds to any path with the metrics."""

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        body = metrics.render().encode()
        caller = AsgiCaller(send, closing=False)
        await send_response(caller, STATUS_OK, body, [TEXT_TYPE])

    return app
