"""Tests of the connection pool for an endpoint."""

from __future__ import annotations

import anyio
from anyio.abc import SocketAttribute, SocketStream

from quetzaldyke.connection.http_endpoint import ConnectionPool
from sidecar_rig import LIMIT_S

RESPONSE = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'


def test_connection_closed_by_the_endpoint_is_not_used() -> None:
    """Guards against sending a request on a closed idle connection."""

    async def scenario() -> None:
        served: list[int] = []
        closed = anyio.Event()

        async def serve(stream: SocketStream) -> None:
            async with stream:
                await stream.receive()
                served.append(len(served))
                await stream.send(RESPONSE)
                if len(served) == 2:
                    await stream.receive()
                    await stream.send(RESPONSE)
            closed.set()

        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.listeners[0].extra(SocketAttribute.local_port)
        with anyio.fail_after(LIMIT_S):
            async with listener, anyio.create_task_group() as group:
                group.start_soon(listener.serve, serve)
                connections = ConnectionPool(f'127.0.0.1:{port}')
                for _ in range(3):
                    async with connections.stream('GET', '/') as response:
                        assert await response.aread() == b'ok'
                    assert len(connections.idle) == 1
                    if len(served) == 1:
                        await closed.wait()
                        await anyio.sleep(0.01)
                assert len(served) == 2
                await connections.aclose()
                group.cancel_scope.cancel()

    anyio.run(scenario)
