"""Randomised soak test: gateway fleets under load with injected faults.

Run by hand: `python tests/soak.py FIRST_SEED SEEDS [ENTRIES]` with `src` on
the module path. The seed determines every random choice but not how the
processes are scheduled, so a run is not exactly repeatable: keep the logs of
a seed that failed.
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

STREAM_EVENTS: Final = 30
FAULT_FREE_S: Final = 3.0
FAULTS_DURATION_S: Final = 8.0
SETTLE_TIMEOUT_S: Final = 25.0
CALLERS: Final = 6
ROUTES: Final = ('again', 'once', 'book', 'look')
JOB_ITEMS: Final = 4


@dataclass(slots=True)
class Soak:
    """The fleet, the random generator and the history of one seed's run."""

    fleet: GatewayFleet
    generator: random.Random
    history: History = field(default_factory=lambda: History(STREAM_EVENTS))
    fault_free: bool = True
    stopped: bool = False
    log: list[str] = field(default_factory=list)

    def random_entry(self) -> str:
        """Return the name of a random entry."""
        return self.generator.choice(sorted(self.fleet.ports))

    def random_port(self) -> int:
        """Return the port for callers of a random entry."""
        return self.fleet.ports[self.random_entry()].front

    def new_id(self) -> str:
        """Return a random 64-bit request or job id."""
        return f'{self.generator.getrandbits(64):016x}'

    def log_line(self, text: str) -> None:
        """Append a line with the current time to the log of the run."""
        self.log.append(f'{time.time():.3f} {text}')

    async def send_requests(self) -> None:
        """Send online requests one after the other until the run stops."""
        while not self.stopped:
            route = self.generator.choice(ROUTES)
            self.history.attempts.append(await self.send_request(route))
            await anyio.sleep(self.generator.random() * 0.05)

    async def send_request(self, route: str) -> Attempt:
        """Send one request and return its response, however it ended."""
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
        fault_free = self.fault_free
        try:
            with anyio.fail_after(6):
                await self.fleet.client.start(
                    HOST, self.random_port(), request, exchange, max_idle_s=3.0
                )
                head = await exchange.read_head()
                status = head.status
                ending = 'cut'
                while chunk := await exchange.read_chunk():
                    body += chunk
                ending = 'whole'
        except (ExchangeError, TimeoutError) as exc:
            self.log_line(f'attempt {request_id} {route} {status} {exc!r}')
        finally:
            exchange.cancel()
        return Attempt(
            request_id,
            route,
            status,
            body,
            ending,
            fault_free=fault_free and self.fault_free,
        )

    async def submit_jobs(self) -> None:
        """Submit jobs until the run stops; cancel a fifth of those accepted."""
        while not self.stopped:
            job_id = self.new_id()
            items = [f'{job_id}-{number}' for number in range(JOB_ITEMS)]
            job = JobHistory(job_id, items)
            self.history.jobs.append(job)
            await self.submit(job)
            if job.accepted and self.generator.random() < 0.2:
                await self.cancel_job(job)
            await anyio.sleep(0.3 + self.generator.random() * 0.5)

    async def submit(self, job: JobHistory) -> None:
        """Submit a job to random entries until accepted, at most six times."""
        rows = [
            {'id': item, 'path': '/jobs/x', 'body': 'aGk=', 'tokens': 5}
            for item in job.items
        ]
        headers = {'Attempt-Id': job.job_id}
        for _ in range(6):
            job.submits += 1
            status, _ = await self.fleet.call(
                self.random_port(), 'POST', '/jobs/x', {'items': rows}, headers
            )
            job.accepted |= status == 202
            if status in {429, 503}:
                job.refusals += 1
            if job.accepted:
                return
            await anyio.sleep(0.3)

    async def cancel_job(self, job: JobHistory) -> None:
        """Cancel a job; if no entry confirms it, later runs are allowed."""
        path = f'/quetzaldyke/lots/{job.job_id}'
        for _ in range(20):
            status, _ = await self.fleet.call(
                self.random_port(), 'DELETE', path
            )
            if status == 200:
                job.cancelled_s = time.time()
                return
            await anyio.sleep(0.3)
        job.cancelled_s = time.time() + 3600

    async def read_jobs(self) -> None:
        """Read the results of random accepted jobs until the run stops."""
        while not self.stopped:
            await anyio.sleep(0.05)
            accepted = [job for job in self.history.jobs if job.accepted]
            if accepted:
                await self.read_results(self.generator.choice(accepted))

    async def read_results(self, job: JobHistory) -> None:
        """Read a job's results at a random entry, from a random position."""
        after = self.generator.randrange(JOB_ITEMS)
        if self.generator.random() < 0.5:
            after = 0
        path = f'/quetzaldyke/lots/{job.job_id}?after={after}'
        status, body = await self.fleet.call(self.random_port(), 'GET', path)
        if status != 200:
            return
        for number, row in enumerate(orjson.loads(body)['results']):
            result = (row['id'], row['state'], row['output'])
            job.record_result(after + number, result)

    async def inject_faults(self) -> None:
        """Inject random faults, some of which overlap."""
        async with anyio.create_task_group() as group:
            end_s = time.monotonic() + FAULTS_DURATION_S
            while time.monotonic() < end_s:
                fault = self.generator.choice(FAULT_KINDS)
                self.log_line(f'fault {fault.__name__}')
                group.start_soon(fault, self)
                await anyio.sleep(0.3 + self.generator.random() * 1.5)

    async def wait_for_jobs(self) -> None:
        """Read the accepted jobs until all are done or the time is up."""
        with anyio.move_on_after(SETTLE_TIMEOUT_S):
            while any(
                job.accepted
                and not job.cancelled_s
                and len(job.results) < len(job.items)
                for job in self.history.jobs
            ):
                for job in self.history.jobs:
                    if job.accepted and len(job.results) < len(job.items):
                        await self.read_results(job)
                await anyio.sleep(0.1)

    async def collect_runs(self) -> None:
        """Add the runs that the endpoints recorded to the history."""
        for name, port in self.fleet.endpoints.items():
            status, body = await self.fleet.call(port, 'GET', '/runs')
            if status != 200:
                continue
            self.history.runs.extend(
                Run(row['id'], name, row['first'], row['at'])
                for row in orjson.loads(body)['runs']
            )


Fault = Callable[[Soak], Coroutine[Any, Any, None]]


def choose_process(soak: Soak, kind: str) -> str:
    """Return a process of a kind that no fault disrupts, or an empty name."""
    names = sorted(
        name
        for name, fleet_process in soak.fleet.processes.items()
        if name.startswith(kind) and not fleet_process.disrupted
    )
    return soak.generator.choice(names) if names else ''


async def restart(soak: Soak, name: str, signal_number: signal.Signals) -> None:
    """Send a signal, kill the process if still up, and start it again."""
    if not name:
        return
    fleet_process = soak.fleet.processes[name]
    fleet_process.disrupted = True
    fleet_process.signal(signal_number)
    if fleet_process.process is not None:
        with anyio.move_on_after(8):
            await fleet_process.process.wait()
        await fleet_process.kill()
    await anyio.sleep(soak.generator.random())
    await fleet_process.start()
    fleet_process.disrupted = False


async def kill_entry(soak: Soak) -> None:
    """Kill an entry and start it again."""
    await restart(soak, choose_process(soak, 'entry'), signal.SIGKILL)


async def stop_entry(soak: Soak) -> None:
    """Shut an entry down gracefully and start it again."""
    await restart(soak, choose_process(soak, 'entry'), signal.SIGTERM)


async def kill_engine(soak: Soak) -> None:
    """Kill an engine and start it again under the same id."""
    name = choose_process(soak, 'i-lm')
    soak.history.killed_endpoints.add(name)
    await restart(soak, name, signal.SIGKILL)


async def pause(soak: Soak, name: str) -> None:
    """Pause a process for up to two seconds."""
    if not name:
        return
    fleet_process = soak.fleet.processes[name]
    fleet_process.disrupted = True
    fleet_process.signal(signal.SIGSTOP)
    await anyio.sleep(0.3 + soak.generator.random() * 1.7)
    fleet_process.signal(signal.SIGCONT)
    fleet_process.disrupted = False


async def pause_entry(soak: Soak) -> None:
    """Pause an entry, which then resumes with outdated state."""
    await pause(soak, choose_process(soak, 'entry'))


async def pause_engine(soak: Soak) -> None:
    """Pause an engine, which stops responding with requests in flight."""
    await pause(soak, choose_process(soak, 'i-lm'))


async def pause_store(soak: Soak) -> None:
    """Pause the store."""
    await pause(soak, choose_process(soak, 'store'))


async def impair_link(soak: Soak) -> None:
    """Impair the connections of one entry to the store for a while."""
    link = soak.fleet.store_proxies[soak.random_entry()]
    link.impairment = soak.generator.choice(
        ['slow', 'one_way', 'silent', 'refuse']
    )
    if link.impairment == 'refuse':
        link.reset()
    await anyio.sleep(0.5 + soak.generator.random() * 3)
    link.impairment = ''
    link.reset()


async def reset_links(soak: Soak) -> None:
    """Reset every connection between the entries and the store."""
    for link in soak.fleet.store_proxies.values():
        link.reset()


async def refuse_calls(soak: Soak) -> None:
    """Make the store refuse all calls for a while."""
    port = soak.fleet.store_port
    await soak.fleet.set_faults(port, refuse=True)
    await anyio.sleep(0.5 + soak.generator.random() * 2)
    await soak.fleet.set_faults(port, refuse=False)


async def lose_answers(soak: Soak) -> None:
    """Make the store apply some writes without sending the responses."""
    count = soak.generator.randint(1, 6)
    await soak.fleet.set_faults(soak.fleet.store_port, lose_answers=count)


async def revoke_leases(soak: Soak) -> None:
    """Make the store revoke all leases at once."""
    await soak.fleet.set_faults(soak.fleet.store_port, lapse=True)


async def forget_history(soak: Soak) -> None:
    """Make the store discard its revision history."""
    await soak.fleet.set_faults(soak.fleet.store_port, forget=True)


async def break_streams(soak: Soak) -> None:
    """Make an engine abort its streams for a second, after seven events."""
    name = choose_process(soak, 'i-lm')
    if name:
        port = soak.fleet.endpoints[name]
        await soak.fleet.set_faults(port, break_after=7)
        await anyio.sleep(1.0)
        await soak.fleet.set_faults(port, break_after=0)


async def change_configuration(soak: Soak) -> None:
    """Write a new version of the configuration with another timeout."""
    await soak.fleet.write_configuration(soak.generator.randint(3500, 4500))


FAULT_KINDS: Final[tuple[Fault, ...]] = (
    kill_entry,
    stop_entry,
    kill_engine,
    pause_entry,
    pause_engine,
    pause_store,
    impair_link,
    impair_link,
    reset_links,
    refuse_calls,
    lose_answers,
    revoke_leases,
    forget_history,
    break_streams,
    change_configuration,
)


async def run_seed(seed: int, folder: Path, entries: int = 3) -> list[str]:
    """Run one seed and return the violations of the guarantees."""
    async with AsyncExitStack() as stack:
        fleet = GatewayFleet(folder, stack)
        await fleet.start(entries, engines=3, services=2, events=STREAM_EVENTS)
        soak = Soak(fleet, random.Random(seed))
        async with anyio.create_task_group() as group:
            for _ in range(CALLERS):
                group.start_soon(soak.send_requests)
            group.start_soon(soak.submit_jobs)
            group.start_soon(soak.read_jobs)
            # Without other faults, a graceful shutdown interrupts no request.
            await restart(soak, choose_process(soak, 'entry'), signal.SIGTERM)
            await anyio.sleep(FAULT_FREE_S)
            soak.fault_free = False
            await soak.inject_faults()
            soak.stopped = True
        await soak.wait_for_jobs()
        await soak.collect_runs()
        violations = soak.history.check()
        lines = [
            *soak.log,
            f'{len(soak.history.attempts)} attempts',
            *violations,
        ]
        (folder / 'soak.log').write_text('\n'.join(lines))
        served = sum(
            attempt.ending == 'whole' for attempt in soak.history.attempts
        )
        if not served:
            violations.append('no request was served')
    return violations


def main() -> None:
    """Run the given seeds, print each verdict and keep the logs."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    entries = int(sys.argv[3]) if len(sys.argv) > 3 else 3
    failed = []
    for seed in range(first, first + count):
        folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        violations = anyio.run(run_seed, seed, folder, entries)
        verdict = 'failed' if violations else 'passed'
        print(f'seed={seed} verdict={verdict} logs={folder}', flush=True)
        for violation in violations:
            print(f'  {violation}', flush=True)
        failed.extend([seed] if violations else [])
    print(f'{count - len(failed)} passed, {len(failed)} failed')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
