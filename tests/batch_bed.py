"""Test bed of entries and sidecars in one event loop with virtual time.

The entries run the real batch part and timers. The sidecars are fakes that
grant room and finish, preempt or fail items. Virtual time makes a run short
and, together with its seed, reproducible.
"""

from __future__ import annotations

import asyncio
import io
import json
import random
import selectors
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

import anyio
import pytest
from anyio import to_thread

from batch_store import SharedStore, StoreClient
from quetzaldyke.connection import messages as m
from quetzaldyke.connection.codec import from_row, to_row
from quetzaldyke.durable import keys
from quetzaldyke.durable.progress import decode
from quetzaldyke.durable.records import JobRecord, Progress, unpack
from quetzaldyke.durable.service import JobRequest
from quetzaldyke.parts.kv import Envelope
from quetzaldyke.parts.timers import Clock, TimerService
from quetzaldyke.process import batch_part, fleet
from quetzaldyke.version.configuration import Configuration

POOL = 'orders'
ENDPOINT = '/v1/completions'
LATENCY_S = 0.0015
CONFIG = Configuration.model_validate({'pools': {POOL: {}}})


class VirtualSelector(selectors.SelectSelector):
    """Selector that advances the virtual time instead of waiting."""

    now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        """Return the ready files; if there are none, advance the time."""
        if timeout is None:
            return super().select(None)
        ready = super().select(0)
        if not ready:
            self.now += max(0, timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that uses the selector's virtual time."""

    def __init__(self) -> None:
        self.virtual = VirtualSelector()
        super().__init__(self.virtual)

    def time(self) -> float:
        """Return the virtual time."""
        return self.virtual.now


def run_virtual(scenario: Callable[[], Awaitable[Any]]) -> Any:
    """Run a scenario in virtual time."""
    return anyio.run(scenario, backend_options={'loop_factory': VirtualLoop})


class Channel:
    """One direction of a simulated connection; delivers in order."""

    def __init__(self, receive: Any, remote: m.Hello) -> None:
        self.receive = receive
        self.remote = remote
        self.closed = False
        self.queue: list[m.Message] = []
        self.filled = anyio.Event()

    def send(self, message: m.Message) -> None:
        """Encode and decode a message, then queue it for delivery."""
        if not self.closed:
            self.queue.append(from_row(to_row(message)))
            self.filled.set()

    async def pump(self, gate: Callable[[], anyio.Event | None]) -> None:
        """Deliver queued messages; wait while the receiver is paused."""
        while not self.closed:
            await self.filled.wait()
            self.filled = anyio.Event()
            await anyio.sleep(LATENCY_S)
            waiting = gate()
            if waiting is not None:
                await waiting.wait()
            while self.queue and not self.closed:
                await self.receive(self.queue.pop(0))


def hello(name: str, role: str) -> m.Hello:
    """Return the Hello message of a process."""
    return m.Hello(m.PROTOCOL_VERSION, role, name, 'a', f'{name}-1', POOL)


def expected_tokens(prompt: str) -> list[str]:
    """Return the tokens of the complete response to a prompt."""
    return [f' {prompt}.{number}' for number in range(4)]


@dataclass
class Sidecar:
    """Fake sidecar: grants room and runs items token by token."""

    name: str
    bed: Bed
    slots: int = 8
    step_s: float = 0.05
    preempt_rate: float = 0.0
    break_rate: float = 0.0
    ignores_cancel: bool = False
    # Reasons of the crashes that items with a prompt are still to meet.
    crashes: dict[str, list[str]] = field(default_factory=dict)
    running: dict[str, tuple[str, m.Submit]] = field(default_factory=dict)
    demands: dict[tuple[str, str], m.BatchDemand] = field(default_factory=dict)
    grants: dict[int, tuple[str, str, float]] = field(default_factory=dict)
    cancelled: set[str] = field(default_factory=set)
    to_entry: dict[str, Channel] = field(default_factory=dict)
    texts: dict[str, str] = field(default_factory=dict)
    grant_number: int = 0

    async def receive(self, entry: str, message: m.Message) -> None:
        """Handle a message from an entry."""
        match message:
            case m.BatchDemand():
                self.demands[entry, message.job_id] = message
            case m.Submit():
                self.submit(entry, message)
            case m.Cancel():
                self.running.pop(message.request_id, None)
            case m.CancelJob() if not self.ignores_cancel:
                self.cancelled.add(message.job_id)
                for key, (owner, submit) in list(self.running.items()):
                    if submit.job_id == message.job_id:
                        self.fail(key, owner, 'ran', 'job_cancelled')
                self.to_entry[entry].send(m.JobStopped(message.job_id))

    def submit(self, entry: str, submit: m.Submit) -> None:
        """Start an item if its grant is valid."""
        grant = self.grants.pop(submit.grant_id, None)
        now_s = anyio.current_time()
        refused = 'REFUSED' in submit.body.decode()
        valid = grant and grant[:2] == (entry, submit.job_id) and not refused
        if not valid or grant[2] < now_s or submit.job_id in self.cancelled:  # type: ignore[index]
            failed = m.Failed(submit.request_id, 'not_run', 'no valid grant')
            self.to_entry[entry].send(failed)
            return
        self.bed.starts.append((submit.job_id, now_s))
        self.running[submit.request_id] = (entry, submit)
        self.bed.group.start_soon(self.run, submit.request_id)

    def fail(self, key: str, entry: str, ran: str, reason: str) -> None:
        """Fail a running item, with the text that it generated."""
        _, submit = self.running.pop(key)
        text = self.texts.get(key, '')
        count = text.count(' ')
        failed = m.Failed(submit.request_id, ran, reason, 0, text, count)
        self.to_entry[entry].send(failed)

    async def run(self, key: str) -> None:
        """Run one item: send its tokens and its end, or a random failure."""
        if key not in self.running:
            return
        entry, submit = self.running[key]
        prompt = json.loads(submit.body)['prompt']
        channel = self.to_entry[entry]
        channel.send(m.Started(submit.request_id))
        if prompt.startswith('INVALID'):
            await anyio.sleep(self.step_s)
            body = b'{"error": "invalid"}'
            if self.running.pop(key, None):
                channel.send(m.End(key, 0, 400, {}, body, '', 0, 0))
            return
        tokens = expected_tokens(prompt)[submit.resume_tokens :]
        for seq, token in enumerate(tokens):
            await anyio.sleep(self.step_s)
            if key not in self.running:
                return
            crashes = self.crashes.pop(prompt, [])
            if crashes:
                reason, *self.crashes[prompt] = crashes
                self.fail(key, entry, 'ran', reason)
                return
            if prompt.startswith('BREAK') or self.chance(self.break_rate):
                self.fail(key, entry, 'unknown', 'stream broke')
                return
            if self.chance(self.preempt_rate):
                self.fail(key, entry, 'ran', 'preempted')
                return
            self.texts[key] = f'{self.texts.get(key, "")}{token}'
            channel.send(m.Chunk(key, seq, token, 1))
        self.running.pop(key)
        channel.send(m.End(key, len(tokens), 200, {}, b'', 'stop', 3, 4))

    def chance(self, rate: float) -> bool:
        """Return true at random, with the given probability."""
        return self.bed.rng.random() < rate

    async def grant_room(self) -> None:
        """Keep granting free slots, to the demand with least slack first."""
        while True:
            await anyio.sleep(0.05)
            now_s = anyio.current_time()
            self.grants = {
                key: grant
                for key, grant in self.grants.items()
                if grant[2] >= now_s
            }
            room = self.slots - len(self.running) - len(self.grants)
            order = sorted(
                self.demands.items(),
                key=lambda one: (one[1].slack_s // 60, self.bed.rng.random()),
            )
            for (entry, job_id), demand in order:
                while room > 0 and demand.count > 0:
                    room -= 1
                    demand.count -= 1
                    self.grant_number += 1
                    grant = (entry, job_id, now_s + 2.0)
                    self.grants[self.grant_number] = grant
                    channel = self.to_entry[entry]
                    channel.send(
                        m.BatchGrant(self.grant_number, POOL, job_id, 1),
                    )


@dataclass
class Entry:
    """One entry with the real batch part."""

    name: str
    bed: Bed
    client: StoreClient
    fleet: fleet.Fleet
    timers: TimerService
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    gate: anyio.Event | None = None
    channels: list[Channel] = field(default_factory=list)
    process: Any = None

    @property
    def parts(self) -> batch_part.BatchParts:
        """Return the entry's batch objects."""
        return batch_part.parts_of(self.process)

    async def run(self) -> None:
        """Run the batch part and the timers until the entry is killed."""
        with self.scope:
            async with anyio.create_task_group() as group:
                self.process.group = group
                await batch_part.start(self.process)
                self.bed.ready += 1
                await self.tick(group)

    async def tick(self, group: Any) -> None:
        """Run the timers as `TimerService.run` does, except while paused."""
        while True:
            await anyio.sleep(0.02)
            if self.gate is not None:
                await self.gate.wait()
            for subscription in self.timers.due():
                subscription.running = True
                group.start_soon(self.timers.fire, subscription)

    def pause(self) -> None:
        """Pause the process: its timers, messages and store calls."""
        self.gate = self.client.resume_event = anyio.Event()

    def resume(self) -> None:
        """Resume the paused process where it stopped."""
        gate, self.gate, self.client.resume_event = self.gate, None, None
        assert gate is not None
        gate.set()


@dataclass
class Bed:
    """All processes and the store of one scenario, with its checks."""

    seed: int = 0
    rng: random.Random = field(init=False)
    shared: SharedStore = field(default_factory=SharedStore)
    entries: dict[str, Entry] = field(default_factory=dict)
    sidecars: dict[str, Sidecar] = field(default_factory=dict)
    starts: list[tuple[str, float]] = field(default_factory=list)
    cancelled_at: dict[str, float] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    events: Counter[str] = field(default_factory=Counter)
    config: Configuration = CONFIG
    ready: int = 0
    group: Any = None

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.shared.observers.append(self.observe)
        self.last_progress: dict[str, Progress] = {}

    def observe(self, key: str, value: bytes) -> None:
        """Check a write: a recorded result must never change afterwards."""
        kind = key.split('/')[0]
        if kind == 'jobs':
            job = unpack(JobRecord, Envelope.unpack(value).payload)
            if job.state == 'cancelled':
                self.cancelled_at.setdefault(job.job_id, anyio.current_time())
        if kind != 'progress':
            return
        new = decode(Envelope.unpack(value).payload)
        assert new is not None
        old = self.last_progress.get(key)
        self.last_progress[key] = new
        if old is None:
            return
        if old.state != 'open':
            self.violations.append(f'{key} written after {old.state}')
        if new.epoch < old.epoch:
            self.violations.append(f'{key} epoch went back')
        indexes = [one.index for one in new.tail]
        if len(set(indexes)) != len(indexes):
            self.violations.append(f'{key} holds a result twice')
        if new.packs[: len(old.packs)] != old.packs:
            self.violations.append(f'{key} lost a pack')
        for one in old.tail:
            if len(new.packs) == len(old.packs) and one not in new.tail:
                self.violations.append(f'{key} changed result {one.index}')

    def add_entry(self, name: str) -> Entry:
        """Start an entry; it is not connected yet."""
        rng = random.Random(f'{self.seed}/{name}')
        own = fleet.Instance(name, 'entry', 'a', '')
        entry = Entry(
            name,
            self,
            StoreClient(self.shared, rng),
            fleet.Fleet(own, 100),
            TimerService(Clock(read=anyio.current_time)),
        )
        entry.process = SimpleNamespace(
            settings=SimpleNamespace(
                instance=name,
                held_results_bytes=67_108_864,
                drain_s=30.0,
                retention_s=86_400.0,
                max_body_bytes=1_048_576,
            ),
            clock=entry.timers.clock,
            timers=entry.timers,
            log_event=self.log_event,
            store=entry.client,
            config=SimpleNamespace(current=self.config),
            fleet=entry.fleet,
            link_options=None,
            jobs=None,
            stopping=anyio.Event(),
        )
        self.entries[name] = entry
        self.group.start_soon(entry.run)
        return entry

    def log_event(self, name: str, **fields: object) -> None:
        """Count the events of all entries; a `batch_fault` is a violation."""
        self.events[name] += 1
        if name == 'batch_fault':
            self.violations.append(f'fault {fields}')

    async def connect(self) -> None:
        """Connect each pair of processes that isn't connected."""
        names = sorted(self.entries)
        for name in names:
            for peer in names:
                if peer not in self.entries[name].fleet.entries:
                    if peer != name:
                        await self.connect_entries(name, peer)
            for sidecar in self.sidecars.values():
                if sidecar.name not in self.entries[name].fleet.links:
                    await self.connect_sidecar(self.entries[name], sidecar)

    async def connect_entries(self, name: str, peer: str) -> None:
        """Open a connection between two entries."""
        one, two = self.entries[name], self.entries[peer]
        for own, other in ((one, two), (two, one)):
            channel = Channel(None, hello(other.name, 'entry'))
            own.channels.append(channel)
            own.fleet.entries[other.name] = channel  # type: ignore[assignment]
            row = fleet.Instance(other.name, 'entry', 'a', '')
            own.fleet.instances[other.name] = row
        for own, other in ((one, two), (two, one)):
            channel = own.fleet.entries[other.name]  # type: ignore[assignment]
            back = other.fleet.entries[own.name]
            channel.receive = receiver(other.fleet, back)
            self.group.start_soon(channel.pump, gate_of(other))

    async def connect_sidecar(self, entry: Entry, sidecar: Sidecar) -> None:
        """Open a connection from an entry to a sidecar."""

        async def to_sidecar(message: m.Message) -> None:
            await sidecar.receive(entry.name, message)

        session = Channel(to_sidecar, hello(sidecar.name, 'sidecar'))
        entry.channels.append(session)
        row = fleet.Instance(sidecar.name, 'sidecar', 'a', '', POOL)
        entry.fleet.instances[sidecar.name] = row
        await fleet.add_session(entry.fleet, session)  # type: ignore[arg-type]
        back = Channel(receiver(entry.fleet, session), hello('', 'entry'))
        sidecar.to_entry[entry.name] = back
        entry.channels.append(back)
        self.group.start_soon(session.pump, lambda: None)
        self.group.start_soon(back.pump, gate_of(entry))
        report = m.Report(
            *(POOL, True, False, 8, 0, 0, 0, 8, 1.0, 1.0, POOL, '', ''),
            *(0, [], 'a'),
        )
        back.send(report)

    def disconnect(self, name: str, listed: bool) -> None:
        """Close an entry's connections.

        With `listed` the other entries' instance lists still contain it.
        """
        gone = self.entries[name]
        for channel in gone.channels:
            channel.closed = True
        gone.channels.clear()
        for link in list(gone.fleet.links.values()):
            fleet.remove_session(gone.fleet, link.session)
        gone.fleet.entries.clear()
        for other in self.entries.values():
            other.fleet.entries.pop(name, None)
            if not listed:
                other.fleet.instances.pop(name, None)
        for sidecar in self.sidecars.values():
            sidecar.to_entry.pop(name, None)
            for key, (owner, _) in list(sidecar.running.items()):
                if owner == name:
                    sidecar.running.pop(key)
            for demand in [one for one in sidecar.demands if one[0] == name]:
                sidecar.demands.pop(demand)

    def kill(self, name: str) -> None:
        """Crash an entry and remove it from the instance lists."""
        self.entries[name].scope.cancel()
        self.disconnect(name, listed=False)
        self.entries.pop(name)

    async def start(self, entries: int = 2, sidecars: int = 2) -> None:
        """Start the sidecars and entries and connect them."""
        for number in range(sidecars):
            sidecar = Sidecar(f'sidecar-{number}', self)
            self.sidecars[sidecar.name] = sidecar
            self.group.start_soon(sidecar.grant_room)
        for number in range(entries):
            self.add_entry(f'entry-{number}')
        while self.ready < entries:
            await anyio.sleep(0.001)
        await self.connect()

    def service(self, name: str = 'entry-0') -> Any:
        """Return the job service of an entry."""
        return self.entries[name].parts.service

    async def submit(self, prompts: list[str], **fields: Any) -> str:
        """Store a file, create a job and return its id."""
        service = self.service()
        raw = jsonl(prompts)
        stored = await service.store_file('barf', 'f', io.BytesIO(raw), 1)
        request = JobRequest(
            'barf', stored.unwrap().file_id, ENDPOINT, **fields
        )
        created = await service.create_job(request)
        return str(created.unwrap().job.job_id)

    def job(self, job_id: str) -> JobRecord:
        """Return a job's stored record."""
        record = self.shared.records[keys.job_key('barf', job_id)]
        return unpack(JobRecord, Envelope.unpack(record.value).payload)

    async def wait(self, done: Callable[[], bool], limit_s: float) -> None:
        """Wait until `done` is true; fail a run stuck for the time limit."""
        end_s = anyio.current_time() + limit_s
        while not done():
            assert anyio.current_time() < end_s, f'stuck, seed {self.seed}'
            await anyio.sleep(0.1)

    async def finished(self, job_id: str, limit_s: float = 600) -> None:
        """Wait until a job is in a final state."""
        await self.wait(lambda: self.job(job_id).finished_ms > 0, limit_s)

    async def lines(self, job_id: str, failed: bool) -> list[Any]:
        """Return a job's parsed result lines, or its error lines."""
        name = sorted(self.entries)[0]
        found = await self.service(name).results('barf', job_id, failed)
        raw = b''.join([part async for part in found.unwrap()])
        return [json.loads(line) for line in raw.splitlines()]

    async def check(self, job_id: str, prompts: list[str]) -> None:
        """Check that each item has exactly one result, and its own one."""
        assert not self.violations, (self.seed, self.violations[:3])
        good = await self.lines(job_id, failed=False)
        bad = await self.lines(job_id, failed=True)
        ids = sorted(int(line['custom_id']) for line in (*good, *bad))
        assert ids == list(range(len(prompts))), f'seed {self.seed}'
        for line in good:
            prompt = prompts[int(line['custom_id'])]
            text = line['response']['body']['choices'][0]['text']
            assert text == ''.join(expected_tokens(prompt)), f'seed {self.seed}'


def jsonl(prompts: list[str]) -> bytes:
    """Return a JSON Lines file with one batch item per prompt."""
    rows = [
        {
            'custom_id': str(number),
            'method': 'POST',
            'url': ENDPOINT,
            'body': {'model': POOL, 'prompt': prompt},
        }
        for number, prompt in enumerate(prompts)
    ]
    return '\n'.join(json.dumps(row) for row in rows).encode()


def receiver(target: fleet.Fleet, session: Any) -> Any:
    """Return a function that delivers messages to an entry's fleet."""

    async def receive(message: m.Message) -> None:
        await fleet.dispatch(target, session, message)

    return receive


def gate_of(entry: Entry) -> Callable[[], anyio.Event | None]:
    """Return a function that returns the resume event of a paused entry."""
    return lambda: entry.gate


def scenario(
    body: Callable[[Bed], Awaitable[None]],
    seed: int = 0,
    **fields: Any,
) -> None:
    """Run a scenario on a new test bed; pytest shows the seed on failure."""

    async def run() -> None:
        bed = Bed(seed)
        async with anyio.create_task_group() as group:
            bed.group = group
            await bed.start(**fields)
            await body(bed)
            group.cancel_scope.cancel()

    print(f'seed {seed}')
    # With real threads, virtual time would advance while a thread runs, by a
    # different amount in each run.
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(to_thread, 'run_sync', run_inline)
        run_virtual(run)


async def run_inline(work: Callable[..., Any], *arguments: Any) -> Any:
    """Run a function in the event loop instead of in a thread."""
    return work(*arguments)
