"""Tests of organisations on the whole way of a request, over real sockets.

The endpoint records what it gets; callers read what the real server answers.
"""

from __future__ import annotations

import random
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from typing import Final

import anyio
import pytest
from anyio.abc import SocketStream
from result import Ok

from gateway_kit import (
    FakeStore,
    Node,
    make_dispatcher,
    make_endpoint,
    make_route,
)
from key_rig import KeyRig, confirm, make_configuration
from quetzaldyke.connection.http_server import (
    HttpOptions,
    HttpServer,
    serve_http,
)
from quetzaldyke.gateway.crashes import CrashTracker
from quetzaldyke.gateway.http_client import HttpClient
from quetzaldyke.gateway.ingress import Ingress
from quetzaldyke.gateway.job_api import JobApi
from quetzaldyke.gateway.model import Configuration
from quetzaldyke.gateway.new_job import make_job
from quetzaldyke.gateway.online_request import RelayContext
from quetzaldyke.parts.transactions import Snapshot
from raw_endpoint import RawEndpoint, raw_endpoint
from test_broken_streams import WHOLE, MonotonicTime

pytestmark = pytest.mark.anyio

KEYS: Final = {'key-1': 'depot', 'key-2': 'depot', 'key-3': 'hotel'}
JOB: Final = (
    b'{"items": [{"id": "i", "path": "/p/batch/i", "tokens": 7, "headers": '
    b'{"authorization": "Bearer key-1", "TENANT": "hotel", "Model": "m"}}]}'
)


@pytest.fixture
def anyio_backend() -> str:
    """Run on the backend that the processes use."""
    return 'asyncio'


@dataclass(slots=True)
class EntryRig:
    """The requests of one entry before one endpoint, on a fake store."""

    endpoint: RawEndpoint
    node: Node
    ingress: Ingress
    address: str = ''
    lines: list[str] = field(default_factory=list)

    @classmethod
    def of(cls, endpoint: RawEndpoint) -> EntryRig:
        """Return an entry with a configuration without organisations."""
        now = MonotonicTime(time.monotonic())
        keys = KeyRig(now=now.read)
        confirm(keys.feed)
        node = Node.of(FakeStore(), 'a')
        # All jobs of the fleet were listed, and there are none.
        node.table.apply_snapshot(Snapshot([], 1))
        api = JobApi(
            node.store,
            run_accepted=lambda _: None,
            tell_ended=lambda _: None,
            store_up=lambda: True,
            version=lambda: 1,
        )
        at = replace(make_endpoint('e1'), host='127.0.0.1', port=endpoint.port)
        context = RelayContext(
            make_dispatcher(now, at),
            HttpClient(),
            CrashTracker(),
            now.read,
            lambda name, **fields: rig.lines.append(f'{name} {fields}'),
        )
        ingress = Ingress(
            context,
            keys.metrics,
            random.Random(1),
            api.handle,
            lambda: True,
            keys.check,
        )
        rig = cls(endpoint, node, ingress)
        rig.configure(make_configuration(None))
        return rig

    def configure(self, configuration: Configuration) -> None:
        """Put a version into force."""
        self.ingress.configure(configuration)

    async def ask(self, caller: SocketStream, *lines: bytes) -> bytes:
        """Send a request on a connection and return what comes back."""
        await caller.send(b'\r\n'.join((*lines, b'', b'')))
        with anyio.fail_after(10):
            return await caller.receive()

    async def call(
        self, line: bytes, *headers: bytes, body: bytes = b''
    ) -> bytes:
        """Send a request on a connection of its own."""
        length = b'Content-Length: %d' % len(body)
        head = (line + b' HTTP/1.1', b'Host: h.example', b'Attempt-Id: r1')
        content = (length, b'Connection: close', *headers, b'', body)
        host, _, port = self.address.rpartition(':')
        received = b''
        async with await anyio.connect_tcp(host, int(port)) as caller:
            await caller.send(b'\r\n'.join((*head, *content)))
            with anyio.fail_after(10):
                async for part in caller:
                    received += part
        return received

    async def status(
        self, line: bytes, key: str = '', body: bytes = b''
    ) -> int:
        """Return the status of a request with a key, if one is given."""
        credentials = [f'Authorization: Bearer {key}'.encode()] if key else []
        answer = await self.call(line, *credentials, body=body)
        return int(answer.split()[1])


@asynccontextmanager
async def entry() -> AsyncIterator[EntryRig]:
    """Run an entry whose callers use real connections."""
    options = HttpOptions('127.0.0.1:0', drain_s=1)
    async with (
        raw_endpoint(lambda *_: WHOLE, closing=True) as endpoint,
        anyio.create_task_group() as group,
    ):
        rig = EntryRig.of(endpoint)
        stopping = anyio.Event()
        server: HttpServer = await group.start(
            serve_http, rig.ingress, options, stopping
        )
        rig.address = server.address
        yield rig
        stopping.set()


async def test_body_of_a_rejected_request_is_no_request() -> None:
    """Guards against a connection that reads a rejected body as a request.

    The next request on the connection is decided by its own key.
    """
    async with entry() as rig:
        rig.configure(make_configuration(KEYS))
        host, _, port = rig.address.rpartition(':')
        async with await anyio.connect_tcp(host, int(port)) as caller:
            inner = b'GET /p/inner HTTP/1.1\r\nHost: h.example\r\n\r\n'
            head = (b'POST /p/x HTTP/1.1', b'Host: h.example')
            rejected = await rig.ask(
                caller, *head, b'Content-Length: %d' % len(inner), b'', inner
            )
            assert rejected.startswith(b'HTTP/1.1 401 ')
            assert b'www-authenticate: Bearer\r\n' in rejected
            assert not rig.endpoint.requests
        served = await rig.call(b'POST /p/x', b'Authorization: Bearer key-1')
        assert served.startswith(b'HTTP/1.1 200 ')
        assert len(rig.endpoint.requests) == 1


async def test_each_request_of_a_connection_is_decided_by_its_key() -> None:
    """Guards against a key that counts for a whole connection."""
    async with entry() as rig:
        rig.configure(make_configuration(KEYS))
        host, _, port = rig.address.rpartition(':')
        head = (b'GET /p/x HTTP/1.1', b'Host: h.example', b'Attempt-Id: r1')
        key = b'Authorization: Bearer key-1'
        async with await anyio.connect_tcp(host, int(port)) as caller:
            served = await rig.ask(caller, *head, key)
            while not served.endswith(b'0\r\n\r\n'):
                served += await caller.receive()
            rejected = await rig.ask(caller, *head)
            assert rejected.startswith(b'HTTP/1.1 401 ')
            rig.configure(make_configuration({'key-3': 'hotel'}, version=2))
            rejected = await rig.ask(caller, *head, key)
            assert rejected.startswith(b'HTTP/1.1 401 ')
    assert len(rig.endpoint.requests) == 1


@pytest.mark.parametrize(
    'listed', [b'tenant', b'Authorization, Tenant', b'close, authorization']
)
async def test_endpoint_gets_the_name_whatever_the_connection_lists(
    listed: bytes,
) -> None:
    """Guards against a caller that makes its request nobody's."""
    async with entry() as rig:
        rig.configure(make_configuration(KEYS))
        await rig.call(
            b'GET /p/x',
            b'AUTHORIZATION: bearer key-3',
            b'Tenant: depot',
            b'tenant: depot',
            b'Connection: ' + listed,
        )
    request = rig.endpoint.requests[0].lower()
    assert request.count(b'\r\ntenant: ') == 1
    assert b'\r\ntenant: hotel\r\n' in request
    assert b'key-3' not in request


async def test_bad_credentials_are_rejected_and_never_written() -> None:
    """Guards against a key in a log line, a metric or the store."""
    async with entry() as rig:
        rig.configure(make_configuration(KEYS))
        for credentials in (
            b'Bearer secret-key',
            b'Bearer secret-\xff\xfe',
            b'Basic secret-key',
            b'secret-key',
            b'Bearer secret-' + b'x' * 9_000,
        ):
            answer = await rig.call(
                b'POST /p/batch/', b'Authorization: ' + credentials, body=JOB
            )
            assert answer.startswith(b'HTTP/1.1 401 ')
        answer = await rig.call(
            b'POST /p/x', b'Authorization: Bearer secret' + b'x' * 99_000
        )
        assert answer.startswith(b'HTTP/1.1 431 ')
        assert await rig.status(b'POST /p/batch/', 'key-1', JOB) == 202
    metrics = rig.ingress.metrics.render()
    stored = repr(rig.node.store.store.state.items)  # type: ignore[attr-defined]
    for text in (*rig.lines, metrics, stored):
        assert 'secret' not in text
        assert 'key-1' not in text
    assert 'hotel' not in stored
    assert len([line for line in rig.lines if 'unauthorized' in line]) == 5


async def test_job_belongs_to_its_organisation_and_outlives_its_keys() -> None:
    """Guards against results that others read or that the owner can't."""
    async with entry() as rig:
        rig.configure(make_configuration(KEYS))
        job = b'/quetzaldyke/lots/r1'
        assert await rig.status(b'POST /p/batch/', 'key-1', JOB) == 202
        await rig.node.sync()
        # Another organisation neither reads, ends nor resends it.
        assert await rig.status(b'GET ' + job, 'key-3') == 404
        assert await rig.status(b'DELETE ' + job, 'key-3') == 404
        body = b'GET /quetzaldyke/items/r1?id=i'
        assert await rig.status(body, 'key-3') == 404
        assert await rig.status(b'POST /p/batch/', 'key-3', JOB) == 400
        # All keys of its own do, also those that came later.
        assert await rig.status(b'GET ' + job, 'key-2') == 200
        later = {'key-4': 'depot'}
        rig.configure(make_configuration(later, version=2))
        assert await rig.status(b'GET ' + job, 'key-1') == 401
        assert await rig.status(b'GET ' + job, 'key-4') == 200
        assert await rig.status(b'POST /p/batch/', 'key-4', JOB) == 202
        # Its organisation may go and return.
        rig.configure(make_configuration({'key-3': 'hotel'}, version=3))
        assert await rig.status(b'GET ' + job, 'key-4') == 401
        rig.configure(make_configuration(KEYS, version=4))
        assert await rig.status(body, 'key-1') == 200
        assert await rig.status(b'DELETE ' + job, 'key-1') == 200
    assert rig.node.table.view('r1').ended


async def test_jobs_are_kept_while_organisations_begin_and_end() -> None:
    """Guards against a job that no caller can read after such a change."""
    async with entry() as rig:
        assert await rig.status(b'POST /p/batch/', body=JOB) == 202
        await rig.node.sync()
        rig.configure(make_configuration(KEYS, version=2))
        job = b'GET /quetzaldyke/lots/r1'
        assert await rig.status(job, 'key-1') == 200
        assert await rig.status(job) == 401
        assert await rig.status(b'POST /p/batch/', 'key-3', JOB) == 202
        record = rig.node.table.view('r1').record
        assert record is not None
        rig.node.table.view('r1').record = replace(record, organisation='depot')
        assert await rig.status(job, 'key-3') == 404
        rig.configure(make_configuration(None, version=3))
        assert await rig.status(job) == 200


async def test_organisation_that_submits_second_is_told_so() -> None:
    """Guards against a 202 for a job that another organisation owns.

    The entry does not know the job yet when it writes its own.
    """
    async with entry() as rig:
        rig.configure(make_configuration(KEYS))
        other = Node.of(rig.node.store.store, 'b')  # type: ignore[arg-type]
        route = make_route('batch')
        job = make_job('r1', route, [], organisation='depot')
        assert await other.store.accept(job, route) == Ok(None)
        assert not rig.node.table.is_known('r1')
        assert await rig.status(b'POST /p/batch/', 'key-3', JOB) == 400
        assert await rig.status(b'POST /p/batch/', 'key-2', JOB) == 202


async def test_wait_for_a_version_counts_as_its_callers_time() -> None:
    """Guards against an endpoint that gets more time than its caller has."""
    async with entry() as rig:
        rig.configure(make_configuration(KEYS))

        async def add_key() -> None:
            while not rig.ingress.keys.waiting:
                await anyio.sleep(0)
            await anyio.sleep(0.05)
            rig.configure(make_configuration({'new': 'depot'}, version=2))
            rig.ingress.keys.feed.changed.set()

        async with anyio.create_task_group() as group:
            group.start_soon(add_key)
            served = await rig.call(
                b'POST /p/x',
                b'Authorization: Bearer new',
                b'Deadline-Ms: 2000',
            )
    assert served.startswith(b'HTTP/1.1 200 ')
    sent = rig.endpoint.requests[0].lower()
    left = sent.partition(b'deadline-ms: ')[2].partition(b'\r')[0]
    assert int(left) <= 2_000 - 50
