"""Runs a fleet of real processes on loopback, for benchmarks and tests.

Roles are started as in production, with flags and environment variables.
Only this development tool starts processes; the daemons never do.
"""

from __future__ import annotations

import os
import sys
import tempfile
from collections.abc import Mapping
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from subprocess import DEVNULL
from typing import IO, Any, Final

import anyio
import httpcore
from anyio.abc import Process

from quetzaldyke.commands.caller import Caller
from quetzaldyke.commands.port_blocks import HOST, free_port
from quetzaldyke.commands.task_fleet import (
    FLEET_SECRET,
    OPERATOR_KEY,
    FleetPlan,
    PoolPlan,
    setup_patch,
)

START_TIMEOUT_S: Final = 30.0
STOP_TIMEOUT_S: Final = 8.0
POLL_INTERVAL_S: Final = 0.05
OK_STATUS: Final = 200
# Length of the tail of standard error that an exit report includes.
MAX_ERROR_CHARS: Final = 2_000
CLOCK_TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')
# Index of utime in /proc/PID/stat, counted after the command name; stime
# follows it.
UTIME_INDEX: Final = 11


@dataclass(slots=True)
class Member:
    """One process of the fleet."""

    name: str
    role: str
    address: str
    process: Process
    # Captures standard error.
    errors: IO[bytes]
    pool: str = ''
    failure_domain: str = ''

    def cpu_s(self) -> float:
        """Return the CPU time that the process has used; 0 if it is gone."""
        try:
            text = Path(f'/proc/{self.process.pid}/stat').read_text()
        except OSError:
            return 0.0
        fields = text.rpartition(')')[2].split()
        ticks = int(fields[UTIME_INDEX]) + int(fields[UTIME_INDEX + 1])
        return ticks / CLOCK_TICKS_PER_S

    def memory_mb(self) -> float:
        """Return the resident memory of the process; 0 if it is gone."""
        try:
            text = Path(f'/proc/{self.process.pid}/statm').read_text()
        except OSError:
            return 0.0
        return int(text.split()[1]) * os.sysconf('SC_PAGE_SIZE') / 2**20


@dataclass(slots=True)
class ProcessFleet:
    """A running fleet of processes."""

    plan: FleetPlan
    members: dict[str, Member] = field(default_factory=dict)
    callers: list[str] = field(default_factory=list)
    operators: list[str] = field(default_factory=list)
    rows: dict[str, dict[str, str]] = field(default_factory=dict)

    def caller(self, organisation: str, number: int = 0) -> Caller:
        """Return a client of an entry's callers' listener."""
        address = self.callers[number % len(self.callers)]
        return Caller(address, self.plan.organisations[organisation])

    def operator(self, number: int = 0) -> Caller:
        """Return a client of an entry's operators' listener."""
        address = self.operators[number % len(self.operators)]
        return Caller(address, OPERATOR_KEY)

    def control(self, name: str) -> Caller:
        """Return a client of a stand-in's control routes."""
        return Caller(self.members[name].address, 'none')

    def with_role(self, role: str) -> list[Member]:
        """Return the processes of a role."""
        return [each for each in self.members.values() if each.role == role]


def free_address() -> str:
    """Return a loopback address with a free port."""
    return f'{HOST}:{free_port()}'


def child_environment() -> dict[str, str]:
    """Return the environment for child processes.

    PYTHONPATH holds this process's sys.path: with a one-file executable,
    only the executable itself puts the packages on the path, so a child's
    interpreter would not find them.
    """
    return {
        'QUETZALDYKE_FLEET_SECRET': FLEET_SECRET,
        'QUETZALDYKE_OPERATOR_KEY': OPERATOR_KEY,
        **os.environ,
        'PYTHONPATH': os.pathsep.join(entry for entry in sys.path if entry),
    }


def describe_exit(member: Member) -> str:
    """Return the exit status and the tail of standard error."""
    member.errors.seek(0)
    text = member.errors.read().decode(errors='replace').strip()
    status = member.process.returncode
    return (
        f'{member.name} ended with status {status}: {text[-MAX_ERROR_CHARS:]}'
    )


def raise_if_exited(fleet: ProcessFleet) -> None:
    """Raise FleetStartError with the errors of processes that exited."""
    ended = [
        describe_exit(member)
        for member in fleet.members.values()
        if member.process.returncode is not None
    ]
    if ended:
        raise FleetStartError('\n'.join(ended))


class FleetStartError(Exception):
    """A process of the fleet exited before the fleet was ready."""


async def start_process(
    fleet: ProcessFleet,
    name: str,
    role: str,
    address: str,
    arguments: list[str],
    flags: Mapping[str, object],
) -> Member:
    """Start a process without waiting for it to listen."""
    command_flags = [
        f'--{flag.replace("_", "-")}={setting}'
        for flag, setting in flags.items()
    ]
    errors = tempfile.TemporaryFile()
    process = await anyio.open_process(
        [sys.executable, '-m', 'quetzaldyke', *arguments, *command_flags],
        stdin=DEVNULL,
        stdout=DEVNULL,
        stderr=errors,
        env=child_environment(),
    )
    member = Member(name, role, address, process, errors)
    fleet.members[name] = member
    return member


async def start_standin(
    fleet: ProcessFleet,
    name: str,
    kind: str,
    flags: Mapping[str, object],
) -> Member:
    """Start a stand-in on a free address."""
    address = free_address()
    return await start_process(
        fleet,
        name,
        kind,
        address,
        ['standin', kind],
        {'address': address, **flags},
    )


def engine_flags(pool: PoolPlan, number: int) -> dict[str, object]:
    """Return the flags of the engine stand-in of a pool."""
    return {
        'model': pool.name,
        'seed': number,
        'max_streams': pool.engine.max_streams,
        'step_ms': pool.engine.step_ms,
        'per_stream_ms': pool.engine.per_stream_ms,
        'prefill_ms_per_token': pool.engine.prefill_ms_per_token,
    }


async def start_endpoint(
    fleet: ProcessFleet,
    pool: PoolPlan,
    number: int,
) -> None:
    """Start an endpoint and its sidecar."""
    domains = fleet.plan.failure_domains
    domain = domains[number % len(domains)]
    name = f'{pool.name}-{number}'
    endpoint = await start_standin(
        fleet,
        f'{pool.kind}-{name}',
        pool.kind,
        engine_flags(pool, number) if pool.kind == 'engine' else {},
    )
    address = free_address()
    sidecar = await start_process(
        fleet,
        name,
        'sidecar',
        address,
        ['sidecar'],
        {
            'instance': name,
            'failure_domain': domain,
            'peer_address': address,
            'endpoint_address': endpoint.address,
            'endpoint_kind': pool.kind,
            'pool': pool.name,
            'max_streams': pool.max_streams or pool.engine.max_streams,
            'max_queue': pool.max_queue,
        },
    )
    for member in (endpoint, sidecar):
        member.pool = pool.name
        member.failure_domain = domain
    fleet.rows[name] = instance_row(name, 'sidecar', address, domain, pool.name)


def instance_row(
    name: str,
    role: str,
    address: str,
    domain: str,
    pool: str = '',
) -> dict[str, str]:
    """Return an instance's row in the instance list."""
    return {
        'instance': name,
        'role': role,
        'peer_address': address,
        'failure_domain': domain,
        'pool': pool,
        'state': 'live',
    }


async def start_entry(fleet: ProcessFleet, number: int) -> None:
    """Start an entry on free addresses."""
    domains = fleet.plan.failure_domains
    name = f'entry-{number}'
    callers, operators, peers = (free_address() for _ in range(3))
    domain = domains[number % len(domains)]
    await start_process(
        fleet,
        name,
        'entry',
        callers,
        ['entry'],
        {
            'instance': name,
            'failure_domain': domain,
            'peer_address': peers,
            'callers_address': callers,
            'operators_address': operators,
            'kv_address': fleet.members['kv'].address,
            'instances_address': fleet.members['instances'].address,
            'linger_s': fleet.plan.linger_s,
        },
    )
    fleet.callers.append(callers)
    fleet.operators.append(operators)
    fleet.rows[name] = instance_row(name, 'entry', peers, domain)


async def start_fleet(stack: AsyncExitStack, plan: FleetPlan) -> ProcessFleet:
    """Start a deployment and wait until entries are connected to endpoints.

    The fleet stops with `stack`. If it is not ready in time, raises
    FleetStartError when a process has exited, else TimeoutError.
    """
    fleet = ProcessFleet(plan)
    stack.push_async_callback(stop_fleet, fleet)
    await start_standin(fleet, 'kv', 'kv', {})
    await start_standin(fleet, 'instances', 'instances', {})
    for pool in plan.pools:
        for number in range(pool.replicas):
            await start_endpoint(fleet, pool, number)
    for number in range(plan.entries):
        await start_entry(fleet, number)
    try:
        await configure(fleet, plan)
    except TimeoutError:
        raise_if_exited(fleet)
        raise
    return fleet


async def configure(fleet: ProcessFleet, plan: FleetPlan) -> None:
    """Register the instances, configure them and wait for the entries."""
    with anyio.fail_after(START_TIMEOUT_S):
        for name, row in fleet.rows.items():
            path = f'/instances/{name}'
            await repeat_until_ok(fleet.control('instances'), 'PUT', path, row)
        patch = {
            'base_version': 0,
            'patch_id': f'{plan.name}-setup',
            'patch': setup_patch(plan),
        }
        await repeat_until_ok(
            fleet.operator(), 'POST', '/config/patches', patch
        )
        for number in range(plan.entries):
            await wait_until_ready(fleet, number)


async def repeat_until_ok(
    caller: Caller,
    method: str,
    path: str,
    body: object,
) -> object:
    """Repeat a request until it succeeds and return its content."""
    while True:
        try:
            status, content = await caller.request(method, path, body)
        except httpcore.ConnectError:
            status, content = 0, None
        if status == OK_STATUS:
            await caller.pool.aclose()
            return content
        await anyio.sleep(POLL_INTERVAL_S)


async def wait_until_ready(fleet: ProcessFleet, number: int) -> None:
    """Wait until an entry sees every sidecar report a running endpoint."""
    operator = fleet.operator(number)
    sidecars = len(fleet.with_role('sidecar'))
    while True:
        content: Any = await repeat_until_ok(operator, 'GET', '/fleet', None)
        usable = sum(
            bool(row.get('report', {}) and row['report'].get('endpoint_up'))
            for row in content.get('instances', ())
        )
        if usable >= sidecars:
            return
        await anyio.sleep(POLL_INTERVAL_S)


async def stop_fleet(fleet: ProcessFleet) -> None:
    """Terminate every process; kill those that exceed the timeout."""
    with anyio.CancelScope(shield=True):
        for member in fleet.members.values():
            if member.process.returncode is None:
                member.process.terminate()
        with anyio.move_on_after(STOP_TIMEOUT_S):
            for member in fleet.members.values():
                await member.process.wait()
        for member in fleet.members.values():
            if member.process.returncode is None:
                member.process.kill()
            await member.process.aclose()
            member.errors.close()
