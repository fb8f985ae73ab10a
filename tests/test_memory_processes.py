"""Tests of the memory of an entry whose endpoints send without end."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from pathlib import Path

import anyio
import pytest

from gateway_fleet import STREAM_HOST, GatewayFleet

ENDPOINTS = 3
CALLERS = 100
ITEMS = 100
# Memory of an instance that takes callers, on the smaller site.
MAX_MEMORY_KB = 150 * 1024
BODY_HEAD = (
    b'HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nAttempt-Id: %b\r\n\r\n'
)


def request_id(head: bytes) -> bytes:
    """Return the id in the head of a request."""
    for line in head.split(b'\r\n'):
        name, _, text = line.partition(b':')
        if name.lower() == b'attempt-id':
            return text.strip()
    return b''


async def endless_endpoint(
    stack: AsyncExitStack, *, events: bool
) -> asyncio.Server:
    """Run an endpoint that sends bytes, or sound events, without end."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            writer.write(BODY_HEAD % request_id(head))
            number = 1
            while True:
                if events:
                    writer.write(
                        b''.join(
                            b'id: %d\ndata: %b\n\n' % (one, b'e' * 2_000)
                            for one in range(number, number + 30)
                        )
                    )
                    number += 30
                else:
                    writer.write(b'x' * 65_536)
                await writer.drain()
                await asyncio.sleep(0)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    stack.callback(server.close)
    return server


async def register(fleet: GatewayFleet, service: str, *, events: bool) -> None:
    """Run endless endpoints of a service and register them."""
    for number in range(ENDPOINTS):
        server = await endless_endpoint(fleet.stack, events=events)
        port = server.sockets[0].getsockname()[1]
        await fleet.put(
            f'servers/endless-{service}-{number}',
            {
                'service': service,
                'address': f'127.0.0.1:{port}',
                'zone': 'a',
                'version': 1,
                'slots': CALLERS,
                'state': 'ready',
                'cold-left-ms': 0,
                'call-seq': 1,
                'born': 1_700_000_000_000,
            },
        )


def peak_memory_kb(fleet: GatewayFleet, name: str) -> int:
    """Return the most memory that a process has had."""
    process = fleet.processes[name].process
    assert process is not None
    status = Path(f'/proc/{process.pid}/status').read_text()
    line = next(one for one in status.splitlines() if 'VmHWM' in one)
    return int(line.split()[1])


# Guards against an entry that keeps all that faulty endpoints send, runs out
# of memory and ends with the requests of all its callers.
@pytest.mark.parametrize('kind', ['answers', 'items'])
def test_entry_outlives_endless_endpoints(tmp_path: Path, kind: str) -> None:
    """The memory stays below that of an instance."""

    async def run() -> None:
        async with AsyncExitStack() as stack:
            fleet = GatewayFleet(tmp_path, stack)
            await fleet.start(1, engines=0, services=0)
            front = fleet.ports['entry-0'].front
            service = 'app' if kind == 'answers' else 'lm'
            await register(fleet, service, events=kind == 'items')
            await anyio.sleep(0.5)
            if kind == 'answers':
                async with anyio.create_task_group() as group:
                    for number in range(CALLERS):
                        group.start_soon(
                            fleet.call,
                            front,
                            'POST',
                            '/look/x',
                            None,
                            {
                                'Attempt-Id': f'r{number}',
                                'Deadline-Ms': '3000',
                                'Host': STREAM_HOST,
                            },
                            5.0,
                        )
            else:
                rows = [
                    {'id': f'i{one}', 'path': '/jobs/x', 'tokens': 5}
                    for one in range(ITEMS)
                ]
                status, _ = await fleet.call(
                    front,
                    'POST',
                    '/jobs/x',
                    {'items': rows},
                    {'Attempt-Id': 'job1'},
                )
                assert status == 202
                await anyio.sleep(6.0)
            assert peak_memory_kb(fleet, 'entry-0') < MAX_MEMORY_KB

    anyio.run(run)
