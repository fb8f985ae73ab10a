"""A randomised soak of whole fleets under faults from outside.

Run by hand: `python tests/soak.py FIRST_SEED SEEDS [ENTRIES]` with `src` on
the module path. Every choice comes from the seed; what the scheduler of the
machine adds is not repeatable, so a seed that failed is kept with its logs.
"""

from __future__ import annotations

import random
import signal
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import anyio
import orjson

from gateway_fleet import HOST, STREAM_HOST, GatewayFleet
from quetzaldyke.gateway.exchange import Exchange, ExchangeError
from quetzaldyke.gateway.http_client import encode_request
from soak_history import Attempt, Ending, History, JobHistory, Run

EVENTS: Final = 30
CALM_S: Final = 3.0
FAULTS_S: Final = 8.0
SETTLE_LIMIT_S: Final = 25.0
CALLERS: Final = 6
ROUTES: Final = ('again', 'once', 'book', 'look')
JOB_ITEMS: Final = 4


@dataclass(slots=True)
class Soak:
    """One run of one seed."""

    fleet: GatewayFleet
    generator: random.Random
    history: History = field(default_factory=lambda: History(EVENTS))
    calm: bool = True
    over: bool = False
    log: list[str] = field(default_factory=list)

    def entry(self) -> str:
        """Draw an entry."""
        return self.generator.choice(sorted(self.fleet.ports))

    def port(self) -> int:
        """Draw the callers' port of an entry."""
        return self.fleet.ports[self.entry()].front

    def new_id(self) -> str:
        """Return an id that no other request has."""
        return f'{self.generator.getrandbits(64):016x}'

    def note(self, text: str) -> None:
        """Keep a line of the soak's own log."""
        self.log.append(f'{time.time():.3f} {text}')

    async def caller(self) -> None:
        """Send online requests until the soak is over."""
        while not self.over:
            route = self.generator.choice(ROUTES)
            self.history.attempts.append(await self.attempt(route))
            await anyio.sleep(self.generator.random() * 0.05)

    async def attempt(self, route: str) -> Attempt:
        """Send one request and take what comes back."""
        request_id = self.new_id()
        exchange = Exchange(b'attempt-id', request_id.encode())
        request = encode_request(
            b'POST',
            f'/{route}/x'.encode(),
            [
                (b'host', STREAM_HOST.encode()),
                (b'attempt-id', request_id.encode()),
                (b'deadline-ms', b'4000'),
            ],
            b'body',
        )
        status = 0
        body = b''
        ending: Ending = 'none'
        calm = self.calm
        try:
            with anyio.fail_after(6):
                await self.fleet.client.start(
                    HOST,
                    self.port(),
                    request,
                    exchange,
                    max_idle_s=3.0,
                )
                head = await exchange.read_head()
                status = head.status
                ending = 'cut'
                while chunk := await exchange.read_chunk():
                    body += chunk
                ending = 'whole'
        except (ExchangeError, TimeoutError) as exc:
            self.note(f'attempt {request_id} {route} {status} {exc!r}')
        finally:
            exchange.cancel()
        return Attempt(
            request_id,
            route,
            status,
            body,
            ending,
            calm=calm and self.calm,
        )

    async def submitter(self) -> None:
        """Submit a job now and then, and end a few of them."""
        while not self.over:
            job_id = self.new_id()
            items = [f'{job_id}-{number}' for number in range(JOB_ITEMS)]
            job = JobHistory(job_id, items)
            self.history.jobs.append(job)
            await self.submit(job)
            if job.accepted and self.generator.random() < 0.2:
                await self.end(job)
            await anyio.sleep(0.3 + self.generator.random() * 0.5)

    async def submit(self, job: JobHistory) -> None:
        """Submit a job at one entry after the other until it is accepted."""
        rows = [
            {'id': item, 'path': '/jobs/x', 'body': 'aGk=', 'tokens': 5}
            for item in job.items
        ]
        headers = {'Attempt-Id': job.job_id}
        for _ in range(6):
            job.submits += 1
            status, _ = await self.fleet.call(
                self.port(),
                'POST',
                '/jobs/x',
                {'items': rows},
                headers,
            )
            job.accepted |= status == 202
            if status in {429, 503}:
                job.refusals += 1
            if job.accepted:
                return
            await anyio.sleep(0.3)

    async def end(self, job: JobHistory) -> None:
        """End a job."""
        path = f'/quetzaldyke/lots/{job.job_id}'
        for _ in range(20):
            status, _ = await self.fleet.call(self.port(), 'DELETE', path)
            if status == 200:
                job.ended_s = time.time()
                return
            await anyio.sleep(0.3)
        job.ended_s = time.time() + 3600

    async def reader(self) -> None:
        """Read jobs at any entry, from any position."""
        while not self.over:
            await anyio.sleep(0.05)
            accepted = [job for job in self.history.jobs if job.accepted]
            if accepted:
                await self.read(self.generator.choice(accepted))

    async def read(self, job: JobHistory) -> None:
        """Read the results of a job."""
        after = self.generator.randrange(JOB_ITEMS)
        if self.generator.random() < 0.5:
            after = 0
        path = f'/quetzaldyke/lots/{job.job_id}?after={after}'
        status, body = await self.fleet.call(self.port(), 'GET', path)
        if status != 200:
            return
        for number, row in enumerate(orjson.loads(body)['results']):
            result = (row['id'], row['state'], row['output'])
            job.note_result(after + number, result)

    async def faults(self) -> None:
        """Harm the fleet, with faults in series and overlapping."""
        async with anyio.create_task_group() as group:
            end_s = time.monotonic() + FAULTS_S
            while time.monotonic() < end_s:
                fault = self.generator.choice(FAULT_KINDS)
                self.note(f'fault {fault.__name__}')
                group.start_soon(fault, self)
                await anyio.sleep(0.3 + self.generator.random() * 1.5)

    async def settle(self) -> None:
        """Wait until every accepted job is done, reading at every entry."""
        with anyio.move_on_after(SETTLE_LIMIT_S):
            while any(
                job.accepted
                and not job.ended_s
                and len(job.results) < len(job.items)
                for job in self.history.jobs
            ):
                for job in self.history.jobs:
                    if job.accepted and len(job.results) < len(job.items):
                        await self.read(job)
                await anyio.sleep(0.1)

    async def take_runs(self) -> None:
        """Take the runs that the endpoints have recorded."""
        for name, port in self.fleet.endpoints.items():
            status, body = await self.fleet.call(port, 'GET', '/runs')
            if status != 200:
                continue
            self.history.runs.extend(
                Run(row['id'], name, row['first'], row['at'])
                for row in orjson.loads(body)['runs']
            )


Fault = Callable[[Soak], Coroutine[Any, Any, None]]


def draw(soak: Soak, kind: str) -> str:
    """Draw a process that no other fault has at the moment."""
    names = sorted(
        name
        for name, program in soak.fleet.processes.items()
        if name.startswith(kind) and not program.disrupted
    )
    return soak.generator.choice(names) if names else ''


async def restart(soak: Soak, name: str, number: signal.Signals) -> None:
    """End a process by a signal and start it again."""
    if not name:
        return
    program = soak.fleet.processes[name]
    program.disrupted = True
    program.signal(number)
    if program.process is not None:
        with anyio.move_on_after(8):
            await program.process.wait()
        await program.kill()
    await anyio.sleep(soak.generator.random())
    await program.start()
    program.disrupted = False


async def kill_entry(soak: Soak) -> None:
    """Kill an entry; it starts again."""
    await restart(soak, draw(soak, 'entry'), signal.SIGKILL)


async def stop_entry(soak: Soak) -> None:
    """Stop an entry as planned; it starts again."""
    await restart(soak, draw(soak, 'entry'), signal.SIGTERM)


async def kill_engine(soak: Soak) -> None:
    """Kill an engine; it starts again under its old id."""
    name = draw(soak, 'i-lm')
    soak.history.forgotten.add(name)
    await restart(soak, name, signal.SIGKILL)


async def pause(soak: Soak, name: str) -> None:
    """Pause a process for up to two seconds."""
    if not name:
        return
    program = soak.fleet.processes[name]
    program.disrupted = True
    program.signal(signal.SIGSTOP)
    await anyio.sleep(0.3 + soak.generator.random() * 1.7)
    program.signal(signal.SIGCONT)
    program.disrupted = False


async def pause_entry(soak: Soak) -> None:
    """Pause an entry, which wakes up with old beliefs."""
    await pause(soak, draw(soak, 'entry'))


async def pause_engine(soak: Soak) -> None:
    """Pause an engine, which goes dark with requests in flight."""
    await pause(soak, draw(soak, 'i-lm'))


async def pause_store(soak: Soak) -> None:
    """Pause the store."""
    await pause(soak, draw(soak, 'store'))


async def harm_link(soak: Soak) -> None:
    """Harm one entry's link to the store."""
    link = soak.fleet.store_proxies[soak.entry()]
    link.harm = soak.generator.choice(['slow', 'one_way', 'silent', 'refuse'])
    if link.harm == 'refuse':
        link.reset()
    await anyio.sleep(0.5 + soak.generator.random() * 3)
    link.harm = ''
    link.reset()


async def reset_links(soak: Soak) -> None:
    """Break every connection to the store."""
    for link in soak.fleet.store_proxies.values():
        link.reset()


async def refuse_calls(soak: Soak) -> None:
    """Let the store refuse all calls for a while."""
    port = soak.fleet.store_port
    await soak.fleet.set_faults(port, refuse=True)
    await anyio.sleep(0.5 + soak.generator.random() * 2)
    await soak.fleet.set_faults(port, refuse=False)


async def lose_answers(soak: Soak) -> None:
    """Let the store lose answers of writes that it has done."""
    count = soak.generator.randint(1, 6)
    await soak.fleet.set_faults(soak.fleet.store_port, lose_answers=count)


async def revoke_leases(soak: Soak) -> None:
    """Let the store end every lease at once."""
    await soak.fleet.set_faults(soak.fleet.store_port, lapse=True)


async def forget_history(soak: Soak) -> None:
    """Let the store drop its history."""
    await soak.fleet.set_faults(soak.fleet.store_port, forget=True)


async def break_streams(soak: Soak) -> None:
    """Let an engine break its streams off for a while."""
    name = draw(soak, 'i-lm')
    if name:
        port = soak.fleet.endpoints[name]
        await soak.fleet.set_faults(port, break_after=7)
        await anyio.sleep(1.0)
        await soak.fleet.set_faults(port, break_after=0)


async def change_configuration(soak: Soak) -> None:
    """Write another version of the configuration."""
    await soak.fleet.write_configuration(soak.generator.randint(3500, 4500))


FAULT_KINDS: Final[tuple[Fault, ...]] = (
    kill_entry,
    stop_entry,
    kill_engine,
    pause_entry,
    pause_engine,
    pause_store,
    harm_link,
    harm_link,
    reset_links,
    refuse_calls,
    lose_answers,
    revoke_leases,
    forget_history,
    break_streams,
    change_configuration,
)


async def run_seed(seed: int, folder: Path, entries: int = 3) -> list[str]:
    """Play one seed and return the promises that it broke."""
    async with AsyncExitStack() as stack:
        fleet = GatewayFleet(folder, stack)
        await fleet.start(entries, engines=3, services=2, events=EVENTS)
        soak = Soak(fleet, random.Random(seed))
        async with anyio.create_task_group() as group:
            for _ in range(CALLERS):
                group.start_soon(soak.caller)
            group.start_soon(soak.submitter)
            group.start_soon(soak.reader)
            # A planned stop alone, which must cut nothing.
            await restart(soak, draw(soak, 'entry'), signal.SIGTERM)
            await anyio.sleep(CALM_S)
            soak.calm = False
            await soak.faults()
            soak.over = True
        await soak.settle()
        await soak.take_runs()
        broken = soak.history.check()
        lines = [*soak.log, f'{len(soak.history.attempts)} attempts', *broken]
        (folder / 'soak.log').write_text('\n'.join(lines))
        served = sum(one.ending == 'whole' for one in soak.history.attempts)
        if not served:
            broken.append('no request was served')
    return broken


def main() -> None:
    """Play the seeds that the arguments name, and keep failing ones' logs."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    entries = int(sys.argv[3]) if len(sys.argv) > 3 else 3
    failed = []
    for seed in range(first, first + count):
        folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        broken = anyio.run(run_seed, seed, folder, entries)
        verdict = 'failed' if broken else 'passed'
        print(f'seed={seed} verdict={verdict} logs={folder}', flush=True)
        for one in broken:
            print(f'  {one}', flush=True)
        failed.extend([seed] if broken else [])
    print(f'{count - len(failed)} passed, {len(failed)} failed')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
