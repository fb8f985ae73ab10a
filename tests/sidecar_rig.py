"""Runs a sidecar with an engine stand-in and a minimal entry over sockets."""

from __future__ import annotations

import itertools
import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any, TypeVar

import anyio
from anyio.abc import TaskGroup

from quetzaldyke.connection.calls import Call, CallTable, read_call
from quetzaldyke.connection.links import LinkOptions, dial
from quetzaldyke.connection.messages import (
    PROTOCOL_VERSION,
    BatchDemand,
    BatchGrant,
    Chunk,
    End,
    Failed,
    Hello,
    Message,
    Started,
    Submit,
)
from quetzaldyke.connection.peer import PeerSession
from quetzaldyke.parts.hlc import HybridClock
from quetzaldyke.process.settings import SidecarSettings
from quetzaldyke.process.sidecar import run_sidecar
from quetzaldyke.process.sidecar_state import SidecarProcess
from quetzaldyke.standins.engine import (
    EngineStandin,
    run_engine,
)
from quetzaldyke.standins.engine_options import EngineOptions
from quetzaldyke.standins.engine_text import answer_text

SECRET = 'fleet-secret-0001'
LIMIT_S = 20.0
PATH = '/v1/completions'
# Latency targets that even a busy machine meets, so that the concurrency
# limit does not change.
SLOW_MS = 60_000.0

MessageT = TypeVar('MessageT', bound=Message)


@dataclass
class Outcome:
    """The messages received for one request."""

    started: bool = False
    texts: list[str] = field(default_factory=list)
    raw: bytes = b''
    end: End | None = None
    failed: Failed | None = None

    @property
    def text(self) -> str:
        """Return the text of the chunks."""
        return ''.join(self.texts)


@dataclass
class EntryClient:
    """The entry's side of one connection."""

    name: str
    group: TaskGroup
    table: CallTable | None = None
    session: PeerSession | None = None
    inbox: list[Message] = field(default_factory=list)
    opened: anyio.Event = field(default_factory=anyio.Event)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    config_version: int = 0

    async def connect(self, address: str) -> None:
        """Dial a sidecar and wait for the session."""
        options = LinkOptions(
            SECRET,
            HybridClock(self.name),
            lambda: Hello(PROTOCOL_VERSION, 'entry', self.name, 'a', 'inc'),
            lambda: self.config_version,
            self.on_open,
            self.on_message,
            self.on_close,
        )

        async def run() -> None:
            with self.scope:
                await dial(address, options)

        self.group.start_soon(run)
        await self.opened.wait()

    async def on_open(self, session: PeerSession) -> None:
        """Store the session."""
        self.session = session
        self.table = CallTable(session)
        self.opened.set()

    async def on_message(self, _: PeerSession, message: Message) -> None:
        """Deliver answers; put other messages into the inbox."""
        if not self.calls.deliver(message):
            self.inbox.append(message)

    def on_close(self, _: PeerSession) -> None:
        """Fail the requests in flight."""
        self.calls.fail_all('connection lost')

    @property
    def calls(self) -> CallTable:
        """Return the table of the requests in flight."""
        assert self.table is not None
        return self.table

    def send(self, message: Message) -> None:
        """Send a message to the sidecar."""
        self.calls.session.send(message)

    def received(self, kind: type[MessageT]) -> list[MessageT]:
        """Return the messages of one kind in the inbox."""
        return [one for one in self.inbox if isinstance(one, kind)]

    async def receive(
        self,
        kind: type[MessageT],
        matches: Callable[[MessageT], bool] = lambda _: True,
    ) -> MessageT:
        """Wait for a message and take it out of the inbox."""
        while True:
            for one in self.received(kind):
                if matches(one):
                    self.inbox.remove(one)
                    return one
            await anyio.sleep(0.002)

    def begin(self, submit: Submit) -> tuple[Outcome, anyio.Event]:
        """Send a request and collect its answer in the background."""
        call = self.calls.begin(submit)
        outcome = Outcome()
        done = anyio.Event()
        self.group.start_soon(self.collect, call, outcome, done)
        return outcome, done

    async def ask(self, submit: Submit) -> Outcome:
        """Send a request and wait for its end."""
        outcome, done = self.begin(submit)
        await done.wait()
        return outcome

    async def collect(
        self,
        call: Call,
        outcome: Outcome,
        done: anyio.Event,
    ) -> None:
        """Read one answer to its end."""
        async for event in read_call(self.calls, call):
            match event:
                case Started():
                    outcome.started = True
                case Chunk():
                    outcome.texts.append(event.text)
                    outcome.raw += event.raw
                case End():
                    outcome.end = event
                case Failed():
                    outcome.failed = event
        done.set()

    async def obtain_grant(
        self,
        job_id: str = 'job',
        count: int = 1,
        pool: str = 'pool',
        slack_s: float = 60.0,
    ) -> BatchGrant:
        """Demand batch room and wait for a grant."""
        self.send(BatchDemand(pool, 'org', job_id, count, slack_s))
        return await self.receive(
            BatchGrant,
            lambda grant: grant.job_id == job_id,
        )


request_numbers = itertools.count(1)


def make_submit(prompt: str = 'hello', tokens: int = 8, **more: Any) -> Submit:
    """Return a request for a completion."""
    body = json.dumps({'prompt': prompt, 'max_tokens': tokens}).encode()
    fields: dict[str, Any] = {
        'request_id': f'r{next(request_numbers)}',
        'work': 'online',
        'idempotent': True,
        'organisation': 'org',
        'pool': 'pool',
        'method': 'POST',
        'path': PATH,
        'headers': {'content-type': 'application/json'},
        'body': body,
        'stream': True,
        'remaining_ms': 15_000,
        'fingerprint': f'fp-{prompt}',
    }
    return Submit(**{**fields, **more})


def make_item(
    grant: BatchGrant,
    prompt: str,
    tokens: int,
    **more: Any,
) -> Submit:
    """Return a batch item that uses a grant."""
    fields = {
        'work': 'batch',
        'grant_id': grant.grant_id,
        'job_id': grant.job_id,
        'pool': grant.pool,
    }
    return make_submit(prompt, tokens, **{**fields, **more})


def full_answer(prompt: str, tokens: int) -> str:
    """Return the complete answer to a prompt."""
    return answer_text(prompt, tokens)


@dataclass
class Rig:
    """One endpoint with its sidecar."""

    group: TaskGroup
    engine: EngineStandin
    sidecar: SidecarProcess
    settings: SidecarSettings
    scope: anyio.CancelScope
    done: anyio.Event

    async def entry(self, name: str = 'entry-1') -> EntryClient:
        """Connect another entry."""
        client = EntryClient(name, self.group)
        await client.connect(self.sidecar.peer_address)
        return client

    async def crash_sidecar(self) -> None:
        """Cancel the sidecar without a graceful shutdown."""
        self.scope.cancel()
        await self.done.wait()

    async def restart_sidecar(self) -> None:
        """Start a new sidecar for the same engine and wait until it is up."""
        await self.start_sidecar()
        await until(lambda: self.sidecar.monitor.up)

    async def start_sidecar(self) -> None:
        """Start a sidecar that sets `done` when it ends."""
        self.scope = anyio.CancelScope()
        self.done = anyio.Event()
        started = anyio.Event()

        async def run() -> None:
            with self.scope:
                async with anyio.create_task_group() as group:
                    self.sidecar = await group.start(start_one)
                    started.set()
            self.done.set()

        async def start_one(*, task_status: Any) -> None:
            await run_sidecar(self.settings, task_status=task_status)

        self.group.start_soon(run)
        await started.wait()


async def until(condition: Callable[[], bool]) -> None:
    """Wait for a condition; make_rig limits the wait to LIMIT_S."""
    while not condition():
        await anyio.sleep(0.002)


@asynccontextmanager
async def make_rig(
    max_streams: int = 4,
    engine: dict[str, Any] | None = None,
    **settings: Any,
) -> AsyncIterator[Rig]:
    """Run an engine and its sidecar for one test."""
    options = EngineOptions(
        **{'max_streams': max_streams, 'step_ms': 4.0, **(engine or {})},
    )
    with anyio.fail_after(LIMIT_S):
        async with anyio.create_task_group() as group:
            standin = await group.start(run_engine, options)
            chosen = SidecarSettings(
                **{
                    'instance': 'sidecar-1',
                    'failure_domain': 'a',
                    'peer_address': '127.0.0.1:0',
                    'fleet_secret': SECRET,
                    'endpoint_address': standin.address,
                    'pool': 'pool',
                    'max_streams': max_streams,
                    'ttft_target_ms': SLOW_MS,
                    'tbt_target_ms': SLOW_MS,
                    **settings,
                },
            )
            rig = Rig(
                group,
                standin,
                None,  # type: ignore[arg-type]
                chosen,
                anyio.CancelScope(),
                anyio.Event(),
            )
            await rig.restart_sidecar()
            yield rig
            group.cancel_scope.cancel()
