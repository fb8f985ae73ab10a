"""Randomised soak test: gateway fleets under load with injected faults.

Run by hand: `python tests/soak.py FIRST_SEED SEEDS [ENTRIES [unframed]]` with
`src` on the module path; with `unframed`, the engines' answers end with their
connections. The seed determines every random choice but not how the
processes are scheduled, so a run is not exactly repeatable: keep the logs of
a seed that failed.
"""

from __future__ import annotations

import functools
import random
import signal
import sys
import tempfile
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

import anyio
import orjson

from gateway_fleet import STREAM_HOST, GatewayFleet
from quetzaldyke.commands.port_blocks import HOST
from quetzaldyke.gateway.exchange import Exchange, ExchangeError
from quetzaldyke.gateway.http_client import encode_request
from soak_faults import CRASHING_PART, FAULT_KINDS, choose_process, restart
from soak_history import Attempt, Ending, History, JobHistory, Run

STREAM_EVENTS: Final = 30
FAULT_FREE_S: Final = 3.0
FAULTS_DURATION_S: Final = 8.0
SETTLE_TIMEOUT_S: Final = 25.0
CALLERS: Final = 6
ROUTES: Final = ('again', 'once', 'book', 'look')
JOB_ITEMS: Final = 4
RESTART_DELAY_S: Final = 1.0


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


async def run_seed(
    seed: int, folder: Path, entries: int = 3, *, unframed: bool = False
) -> list[str]:
    """Run one seed and return the violations of the guarantees."""
    async with AsyncExitStack() as stack:
        fleet = GatewayFleet(folder, stack, unframed=unframed)
        await fleet.start(
            entries,
            engines=3,
            services=2,
            events=STREAM_EVENTS,
            engine_flags=(f'--crashing_part={CRASHING_PART}',),
        )
        soak = Soak(fleet, random.Random(seed))
        supervisor = await stack.enter_async_context(anyio.create_task_group())
        supervisor.start_soon(
            fleet.restart_crashed, RESTART_DELAY_S, soak.history.crashes_s
        )
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
        supervisor.cancel_scope.cancel()
    return violations


def main() -> None:
    """Run the given seeds, print each verdict and keep the logs."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    entries = int(sys.argv[3]) if len(sys.argv) > 3 else 3
    run = functools.partial(run_seed, unframed='unframed' in sys.argv)
    failed = []
    for seed in range(first, first + count):
        folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        violations = anyio.run(run, seed, folder, entries)
        verdict = 'failed' if violations else 'passed'
        print(f'seed={seed} verdict={verdict} logs={folder}', flush=True)
        for violation in violations:
            print(f'  {violation}', flush=True)
        failed.extend([seed] if violations else [])
    print(f'{count - len(failed)} passed, {len(failed)} failed')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
