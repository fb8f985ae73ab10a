"""A fleet of real processes on loopback, for the bench.

The bench is a tool of the developers: the daemons themselves start no
process. Every role runs as operators run it, from flags and variables.
"""

from __future__ import annotations

import os
import socket
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
from quetzaldyke.commands.task_fleet import (
    FLEET_SECRET,
    OPERATOR_KEY,
    FleetPlan,
    PoolPlan,
    setup_patch,
)

HOST: Final = '127.0.0.1'
START_TIMEOUT_S: Final = 30.0
STOP_TIMEOUT_S: Final = 8.0
POLL_INTERVAL_S: Final = 0.05
OK_STATUS: Final = 200
# The last characters of a child's standard error that a report shows.
MAX_ERROR_CHARS: Final = 2_000
# Each process starts at another place, so that two runs seldom meet.
CANDIDATE_PORTS: Final = iter(range(10_000 + os.getpid() * 37 % 15_000, 32_000))
CLOCK_TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')
# utime and stime count from the end of the command's name in stat.
UTIME_INDEX: Final = 11


@dataclass(slots=True)
class Member:
    """One process of the fleet."""

    name: str
    role: str
    address: str
    process: Process
    # What it writes to standard error.
    errors: IO[bytes]
    pool: str = ''
    failure_domain: str = ''

    def cpu_s(self) -> float:
        """Return the processor time that the process has used."""
        try:
            text = Path(f'/proc/{self.process.pid}/stat').read_text()
        except OSError:
            return 0.0
        fields = text.rpartition(')')[2].split()
        ticks = int(fields[UTIME_INDEX]) + int(fields[UTIME_INDEX + 1])
        return ticks / CLOCK_TICKS_PER_S

    def memory_mb(self) -> float:
        """Return the resident memory of the process."""
        try:
            text = Path(f'/proc/{self.process.pid}/statm').read_text()
        except OSError:
            return 0.0
        return int(text.split()[1]) * os.sysconf('SC_PAGE_SIZE') / 2**20


@dataclass(slots=True)
class ProcessFleet:
    """A running fleet."""

    plan: FleetPlan
    members: dict[str, Member] = field(default_factory=dict)
    callers: list[str] = field(default_factory=list)
    operators: list[str] = field(default_factory=list)
    rows: dict[str, dict[str, str]] = field(default_factory=dict)

    def caller(self, organisation: str, number: int = 0) -> Caller:
        """Return a caller at one of the entries."""
        address = self.callers[number % len(self.callers)]
        return Caller(address, self.plan.organisations[organisation])

    def operator(self, number: int = 0) -> Caller:
        """Return an operator at one of the entries."""
        address = self.operators[number % len(self.operators)]
        return Caller(address, OPERATOR_KEY)

    def control(self, name: str) -> Caller:
        """Return a client of a stand-in's control routes."""
        return Caller(self.members[name].address, 'none')

    def with_role(self, role: str) -> list[Member]:
        """Return the processes of a role."""
        return [one for one in self.members.values() if one.role == role]


def free_port() -> int:
    """Return a port that is free now and that no fleet here was given.

    The ports are below the range from which the system takes the ports of
    outgoing connections, so that none of those can take one before the
    process that it is meant for listens.
    """
    for port in CANDIDATE_PORTS:
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return port
    raise RuntimeError('no free port is left')


def free_address() -> str:
    """Return an address that is free now."""
    return f'{HOST}:{free_port()}'


def child_environment() -> dict[str, str]:
    """Return the environment of a child of this process.

    Its path is ours: the interpreter of a one-file executable finds the
    packages only because the executable has put them on the path.
    """
    return {
        'QUETZALDYKE_FLEET_SECRET': FLEET_SECRET,
        'QUETZALDYKE_OPERATOR_KEY': OPERATOR_KEY,
        **os.environ,
        'PYTHONPATH': os.pathsep.join(entry for entry in sys.path if entry),
    }


def describe_exit(member: Member) -> str:
    """Return how a process ended, with the end of what it wrote."""
    member.errors.seek(0)
    text = member.errors.read().decode(errors='replace').strip()
    status = member.process.returncode
    return (
        f'{member.name} ended with status {status}: {text[-MAX_ERROR_CHARS:]}'
    )


def raise_if_exited(fleet: ProcessFleet) -> None:
    """Raise with the errors of the processes that have ended."""
    ended = [
        describe_exit(member)
        for member in fleet.members.values()
        if member.process.returncode is not None
    ]
    if ended:
        raise FleetStartError('\n'.join(ended))


class FleetStartError(Exception):
    """A process of the fleet has ended before the fleet was up."""


async def start_process(
    fleet: ProcessFleet,
    name: str,
    role: str,
    address: str,
    arguments: list[str],
    flags: Mapping[str, object],
) -> Member:
    """Start one process of the fleet."""
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
    """Start a stand-in at a free address."""
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
    """Return the flags of an engine's stand-in."""
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
    """Start an engine and its sidecar."""
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
    """Return a row of the instance list."""
    return {
        'instance': name,
        'role': role,
        'peer_address': address,
        'failure_domain': domain,
        'pool': pool,
        'state': 'live',
    }


async def start_entry(fleet: ProcessFleet, number: int) -> None:
    """Start an entry."""
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
    """Start a deployment and wait until every entry reaches its endpoints."""
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
    """Register the instances and wait until the entries are ready."""
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
    """Repeat a call until it succeeds."""
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
    """Wait until an entry has the configuration and every endpoint."""
    operator = fleet.operator(number)
    sidecars = len(fleet.with_role('sidecar'))
    while True:
        content: Any = await repeat_until_ok(operator, 'GET', '/fleet', None)
        usable = sum(
            bool(one.get('report', {}) and one['report'].get('endpoint_up'))
            for one in content.get('instances', ())
        )
        if usable >= sidecars:
            return
        await anyio.sleep(POLL_INTERVAL_S)


async def stop_fleet(fleet: ProcessFleet) -> None:
    """End every process, as planned and then by force."""
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
