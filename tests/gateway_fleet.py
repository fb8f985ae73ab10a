"""Starts gateway fleets of real processes on the loopback interface."""

from __future__ import annotations

import base64
import os
import signal
import sys
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from hashlib import sha256
from pathlib import Path
from subprocess import DEVNULL
from typing import IO, Final

import anyio
import orjson
from anyio.abc import Process

import quetzaldyke
from quetzaldyke.commands.port_blocks import HOST, free_port
from quetzaldyke.gateway.exchange import Exchange, ExchangeError
from quetzaldyke.gateway.http_client import HttpClient, encode_request
from quetzaldyke.standins.platform_endpoint import CRASH_STATUS
from soak_proxy import Proxy
from unframed_proxy import UnframedProxy

SOURCE: Final = str(Path(quetzaldyke.__file__).parents[1])
START_TIMEOUT_S: Final = 20.0
POLL_INTERVAL_S: Final = 0.05
GRACE_S: Final = 5.0
STREAM_HOST: Final = 'stream.example'

SETTINGS: Final = """node = "{name}"
role = "entry"
ip = "127.0.0.1"
zone = "{zone}"
port-range = [{peer}, {peer}]
heartbeat-ms = 500
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[bounds]
drain-ms = 2000
grace-s = {grace}
[provider]
address = "127.0.0.1:{store}"
"""


@dataclass(slots=True)
class FleetProcess:
    """A process of the fleet, with its command and log file."""

    name: str
    command: list[str]
    environ: dict[str, str]
    log: IO[bytes]
    process: Process | None = None
    # Set while a test has stopped or paused the process.
    disrupted: bool = False

    async def start(self) -> None:
        """Start the process."""
        self.process = await anyio.open_process(
            self.command,
            stdin=DEVNULL,
            stdout=self.log,
            stderr=self.log,
            env={**os.environ, 'PYTHONPATH': SOURCE, **self.environ},
        )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Send SIGKILL and wait for the process to end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


@dataclass(slots=True)
class EntryPorts:
    """The ports that one entry listens on."""

    front: int
    ready: int
    peer: int
    metrics: int


@dataclass(slots=True)
class GatewayFleet:
    """A store, endpoints and entries, each in its own process."""

    folder: Path
    stack: AsyncExitStack
    client: HttpClient = field(default_factory=HttpClient)
    processes: dict[str, FleetProcess] = field(default_factory=dict)
    ports: dict[str, EntryPorts] = field(default_factory=dict)
    endpoints: dict[str, int] = field(default_factory=dict)
    store_proxies: dict[str, Proxy] = field(default_factory=dict)
    store_port: int = 0
    version: int = 0
    # Hashes that each version of the configuration holds besides, to be as large
    # as one of many organisations.
    added_hashes: int = 0
    # Whether the engines' answers end with their connections.
    unframed: bool = False
    # Events after which each third of them is closed cleanly; 0 for never.
    cut_events: int = 0
    unframed_proxies: list[UnframedProxy] = field(default_factory=list)

    async def start(
        self,
        entries: int,
        engines: int,
        services: int,
        events: int = 30,
        engine_flags: tuple[str, ...] = (),
    ) -> None:
        """Start all processes and wait until the entries are ready.

        Raises `TimeoutError` if that takes too long.
        """
        self.store_port = free_port()
        await self.start_standin(
            'store',
            'platform-store',
            f'--address={HOST}:{self.store_port}',
        )
        await self.wait_until_up(self.store_port, '/quetzaldyke/kv-key?key=x')
        await self.write_configuration(timeout_ms=4000)
        for number in range(engines):
            await self.start_endpoint(
                f'i-lm{number}', 'lm', events, *engine_flags
            )
        for number in range(services):
            await self.start_endpoint(f'i-app{number}', 'app', 1)
        for number in range(entries):
            await self.start_entry(f'entry-{number}', 'ab'[number % 2])
        for ports in self.ports.values():
            await self.wait_until_up(ports.ready, '/', expected_status=200)
        await self.wait_for_endpoints()

    async def start_standin(self, name: str, kind: str, *flags: str) -> None:
        """Start the stand-in of a platform component."""
        command = [sys.executable, '-m', 'quetzaldyke', 'standin', kind]
        await self.start_process(name, [*command, *flags], {})

    async def start_endpoint(
        self, name: str, service: str, events: int, *flags: str
    ) -> None:
        """Start the stand-in of an endpoint, which registers itself."""
        port = free_port()
        self.endpoints[name] = port
        plain = ['--plain'] if service == 'app' else []
        advertised = port
        if self.unframed and service == 'lm':
            advertised = free_port()
            proxy = await UnframedProxy.listen(
                advertised, port, self.cut_events
            )
            self.unframed_proxies.append(proxy)
            self.stack.callback(proxy.close)
        await self.start_standin(
            name,
            'platform-endpoint',
            f'--address={HOST}:{port}',
            f'--advertised_address={HOST}:{advertised}',
            f'--store_address={HOST}:{self.store_port}',
            f'--endpoint_id={name}',
            f'--service={service}',
            f'--events={events}',
            '--event_ms=10.0',
            '--slots=6',
            *plain,
            *flags,
        )

    async def start_entry(self, name: str, zone: str) -> None:
        """Start an entry that reaches the store through its own proxy."""
        ports = EntryPorts(*(free_port() for _ in range(4)))
        self.ports[name] = ports
        proxy = await Proxy.listen(free_port(), self.store_port)
        self.stack.callback(proxy.close)
        self.store_proxies[name] = proxy
        path = self.folder / f'{name}.toml'
        path.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                peer=ports.peer,
                front=ports.front,
                ready=ports.ready,
                store=proxy.port,
                grace=int(GRACE_S),
            ),
        )
        await self.start_process(
            name,
            [
                sys.executable,
                '-m',
                'quetzaldyke.gateway',
                'entry',
                f'{HOST}:{ports.front}',
                str(ports.metrics),
            ],
            {'QUETZALDYKE_CONFIG': str(path)},
        )

    async def start_process(
        self,
        name: str,
        command: list[str],
        environ: dict[str, str],
    ) -> None:
        """Start a process that is killed at the end of the fleet."""
        log = (self.folder / f'{name}.log').open('ab')
        self.stack.callback(log.close)
        fleet_process = FleetProcess(name, command, environ, log)
        self.processes[name] = fleet_process
        await fleet_process.start()
        self.stack.push_async_callback(fleet_process.kill)

    async def restart_crashed(
        self, delay_s: float, crashes_s: list[float]
    ) -> None:
        """Start each endpoint that a prompt has ended again, until cancelled.

        The time is appended to `crashes_s`.
        """

        async def watch(name: str) -> None:
            fleet_process = self.processes[name]
            while True:
                process = fleet_process.process
                assert process is not None
                if await process.wait() == CRASH_STATUS:
                    crashes_s.append(time.time())
                    await anyio.sleep(delay_s)
                    await fleet_process.start()
                while fleet_process.process is process:
                    await anyio.sleep(POLL_INTERVAL_S)

        async with anyio.create_task_group() as group:
            for name in self.endpoints:
                group.start_soon(watch, name)

    async def wait_until_up(
        self, port: int, path: str, expected_status: int = 0
    ) -> None:
        """Wait until a process responds, with the expected status if any.

        Raises `TimeoutError` if that takes too long.
        """
        with anyio.fail_after(START_TIMEOUT_S):
            while True:
                status, _ = await self.call(port, 'GET', path)
                if status and expected_status in {0, status}:
                    return
                await anyio.sleep(POLL_INTERVAL_S)

    async def wait_for_endpoints(self) -> None:
        """Wait until every endpoint is registered in the store.

        Raises `TimeoutError` if that takes too long.
        """
        path = '/quetzaldyke/kv-range?prefix=servers/'
        with anyio.fail_after(START_TIMEOUT_S):
            while True:
                _, body = await self.call(self.store_port, 'GET', path)
                if body and len(orjson.loads(body)['items']) >= len(
                    self.endpoints,
                ):
                    return
                await anyio.sleep(POLL_INTERVAL_S)

    async def call(
        self,
        port: int,
        method: str,
        path: str,
        body: object = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 3.0,
    ) -> tuple[int, bytes]:
        """Send a request; return status 0 if the response is incomplete."""
        exchange = Exchange()
        lines = [(b'host', STREAM_HOST.encode())]
        for name, text in (headers or {}).items():
            lines = [row for row in lines if row[0] != name.lower().encode()]
            lines.append((name.lower().encode(), text.encode()))
        content = b'' if body is None else orjson.dumps(body)
        request = encode_request(method.encode(), path.encode(), lines, content)
        try:
            with anyio.fail_after(timeout_s):
                await self.client.start(HOST, port, request, exchange)
                head = await exchange.read_head()
                return head.status, await exchange.read_body()
        except (ExchangeError, TimeoutError):
            return 0, b''
        finally:
            exchange.cancel()

    async def set_faults(self, port: int, **faults: object) -> None:
        """Enable or disable faults of a stand-in."""
        await self.call(port, 'POST', '/faults', faults)

    async def write_configuration(self, timeout_ms: int) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        document = configuration(self.version, timeout_ms)
        if self.added_hashes:
            document['padding'] = [
                sha256(f'{self.version}-{number}'.encode()).hexdigest()
                for number in range(self.added_hashes)
            ]
        await self.put('op/config', document)

    async def put(self, key: str, document: object) -> None:
        """Write a document to a key of the store, as the operator does."""
        value = base64.b64encode(orjson.dumps(document)).decode()
        await self.call(
            self.store_port,
            'POST',
            '/quetzaldyke/kv-txn',
            {'puts': [{'key': key, 'value': value}]},
        )


def configuration(version: int, timeout_ms: int) -> dict[str, object]:
    """Return a configuration with one route of each kind."""
    common = {'timeout-ms': timeout_ms, 'goal-ms': 300, 'priority': 0}
    return {
        'version': version,
        'routes': [
            {
                **common,
                'name': 'resumable',
                'host': STREAM_HOST,
                'prefix': '/again/',
                'kind': 'stream',
                'service': 'lm',
                'max-attempts': 3,
                'resumable': True,
                'gap-target-ms': 250,
            },
            {
                **common,
                'name': 'once',
                'host': STREAM_HOST,
                'prefix': '/once/',
                'kind': 'stream',
                'service': 'lm',
                'max-attempts': 1,
                'gap-target-ms': 250,
            },
            {
                **common,
                'name': 'book',
                'host': STREAM_HOST,
                'prefix': '/book/',
                'kind': 'non_idempotent',
                'service': 'app',
                'max-attempts': 2,
            },
            {
                **common,
                'name': 'look',
                'host': STREAM_HOST,
                'prefix': '/look/',
                'kind': 'idempotent',
                'service': 'app',
                'max-attempts': 3,
            },
            {
                **common,
                'name': 'jobs',
                'host': STREAM_HOST,
                'prefix': '/jobs/',
                'kind': 'batch',
                'service': 'lm',
                'max-attempts': 3,
                'completion-target-ms': 18_000,
                'max-wait-s': 60,
                'cap': 1_000_000,
            },
        ],
        'services': [{'name': 'lm', 'engine': {}}, {'name': 'app'}],
    }
