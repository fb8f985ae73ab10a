"""Tests of serving an ASGI app in the running event loop."""

from __future__ import annotations

import signal

import anyio
import httpcore
import pytest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from quetzaldyke.connection.http_server import HttpOptions, serve_http

OPTIONS = HttpOptions('127.0.0.1:0', drain_s=10)


async def stop_during_request(crash: bool) -> tuple[str, bool, bool]:
    """Stop a server while it handles a request.

    Returns the answer or the name of the error, whether the handler was
    cancelled, and whether a later connection is refused.
    """
    entered = anyio.Event()
    may_answer = anyio.Event()
    handler_cancelled: list[bool] = []

    async def slow(_request: Request) -> Response:
        entered.set()
        try:
            await may_answer.wait()
        except BaseException:
            handler_cancelled.append(True)
            raise
        return PlainTextResponse('whole')

    app = Starlette(routes=[Route('/', slow)])
    stopping = anyio.Event()
    answers: list[str] = []

    async def request(url: str) -> None:
        try:
            response = await pool.request('GET', url)
            answers.append(response.content.decode())
        except (httpcore.NetworkError, httpcore.ProtocolError) as exc:
            answers.append(type(exc).__name__)

    async with (
        httpcore.AsyncConnectionPool() as pool,
        anyio.create_task_group() as clients,
    ):
        async with anyio.create_task_group() as group:
            http = await group.start(serve_http, app, OPTIONS, stopping)
            url = f'http://{http.address}/'
            clients.start_soon(request, url)
            await entered.wait()
            if crash:
                group.cancel_scope.cancel()
            else:
                stopping.set()
                # The server closes its listener at its next tick.
                while http.server.servers[0].is_serving():
                    await anyio.sleep(0.01)
                may_answer.set()
        await anyio.sleep(0.05)
        await request(url)
    return answers[0], bool(handler_cancelled), answers[1] == 'ConnectError'


def test_graceful_stop_finishes_requests() -> None:
    """Guards against a graceful shutdown that aborts a request."""
    assert anyio.run(stop_during_request, False) == ('whole', False, True)


def test_cancelling_breaks_requests() -> None:
    """Guards against requests that still run after a simulated crash."""
    answer, handler_cancelled, refused = anyio.run(stop_during_request, True)
    assert answer in {'RemoteProtocolError', 'ReadError'}
    assert handler_cancelled
    assert refused


def test_signal_handlers_are_unchanged() -> None:
    """Guards against uvicorn replacing the handler of SIGTERM."""

    async def serve_once() -> object:
        stopping = anyio.Event()
        async with anyio.create_task_group() as group:
            await group.start(serve_http, Starlette(), OPTIONS, stopping)
            inside = signal.getsignal(signal.SIGTERM)
            stopping.set()
        return inside

    before = signal.getsignal(signal.SIGTERM)
    assert anyio.run(serve_once) == before


def test_occupied_port_is_reported() -> None:
    """Guards against two servers that share a port without an error."""

    async def serve_twice() -> None:
        stopping = anyio.Event()
        async with anyio.create_task_group() as group:
            http = await group.start(
                serve_http,
                Starlette(),
                OPTIONS,
                stopping,
            )
            try:
                with pytest.raises(OSError, match='in use'):
                    await serve_http(
                        Starlette(),
                        HttpOptions(http.address),
                        stopping,
                    )
            finally:
                stopping.set()

    anyio.run(serve_twice)
