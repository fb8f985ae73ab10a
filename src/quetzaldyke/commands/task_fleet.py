"""Runs a complete fleet as tasks of one process, on loopback, for the demo.

Roles and stand-ins run the same functions as separate processes would and
communicate over real sockets. The plans are also used by `process_fleet`.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any, Final

import anyio
from anyio.abc import TaskGroup

from quetzaldyke.commands.caller import Caller
from quetzaldyke.process.entry import run_entry
from quetzaldyke.process.entry_state import EntryProcess
from quetzaldyke.process.entry_table import ENTRY_PARTS
from quetzaldyke.process.settings import EntrySettings, SidecarSettings
from quetzaldyke.process.sidecar import run_sidecar
from quetzaldyke.process.sidecar_state import SidecarProcess
from quetzaldyke.standins.engine import EngineStandin, run_engine
from quetzaldyke.standins.engine_options import EngineOptions
from quetzaldyke.standins.instances import (
    InstancesOptions,
    InstancesStandin,
    run_instances,
)
from quetzaldyke.standins.kv import KvOptions, KvStandin, run_kv
from quetzaldyke.standins.service import (
    ServiceOptions,
    ServiceStandin,
    run_service,
)
from quetzaldyke.version.configuration import hash_key

ANY_PORT: Final = '127.0.0.1:0'
FLEET_SECRET: Final = 'loopback-fleet-secret'
OPERATOR_KEY: Final = 'loopback-operator-key'
POLL_INTERVAL_S: Final = 0.02


@dataclass(frozen=True, slots=True)
class PoolPlan:
    """Number, kind and options of the endpoints of one pool."""

    name: str
    replicas: int
    kind: str = 'engine'
    engine: EngineOptions = EngineOptions()
    # Concurrent streams that a sidecar allows; 0 means the engine's limit.
    max_streams: int = 0
    max_queue: int = 256


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Size and configuration of one deployment."""

    name: str
    failure_domains: tuple[str, ...]
    entries: int
    pools: tuple[PoolPlan, ...]
    organisations: Mapping[str, str]  # name to caller key
    lending: Sequence[Mapping[str, object]] = ()
    linger_s: float = 0.2


@dataclass(slots=True)
class Endpoint:
    """A running endpoint with its sidecar."""

    name: str
    pool: str
    standin: EngineStandin | ServiceStandin
    sidecar: SidecarProcess
    scope: anyio.CancelScope
    settings: SidecarSettings


@dataclass(slots=True)
class TaskFleet:
    """A fleet that runs in this process."""

    plan: FleetPlan
    group: TaskGroup
    kv: KvStandin
    instances: InstancesStandin
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    entries: dict[str, EntryProcess] = field(default_factory=dict)
    scopes: dict[str, anyio.CancelScope] = field(default_factory=dict)

    def operator(self, number: int = 0) -> Caller:
        """Return a client of an entry's operators' listener."""
        entry = list(self.entries.values())[number]
        return Caller(entry.operators_address, OPERATOR_KEY)

    def caller(self, organisation: str, number: int = 0) -> Caller:
        """Return a client of an entry's callers' listener."""
        entry = list(self.entries.values())[number % len(self.entries)]
        return Caller(
            entry.callers_address,
            self.plan.organisations[organisation],
        )

    def failure_domain_for(self, number: int) -> str:
        """Assign failure domains to instances in rotation."""
        domains = self.plan.failure_domains
        return domains[number % len(domains)]


async def start_cancellable(
    fleet: TaskFleet,
    run: Callable[..., Any],
    settings: object,
) -> tuple[Any, anyio.CancelScope]:
    """Start a role; cancelling the returned scope simulates its crash."""
    scope = anyio.CancelScope()

    async def scoped(*, task_status: Any) -> None:
        with scope:
            await run(settings, task_status=task_status)

    return await fleet.group.start(scoped), scope


async def start_endpoint(
    fleet: TaskFleet, pool: PoolPlan, number: int
) -> Endpoint:
    """Start an endpoint and its sidecar, and register the instance."""
    name = f'{fleet.plan.name}-{pool.name}-{number}'
    standin: EngineStandin | ServiceStandin
    if pool.kind == 'engine':
        options = replace(pool.engine, model=pool.name, seed=number)
        standin = await fleet.group.start(run_engine, options)
    else:
        standin = await fleet.group.start(
            run_service,
            ServiceOptions(name=name),
        )
    settings = SidecarSettings(
        instance=name,
        failure_domain=fleet.failure_domain_for(number),
        peer_address=ANY_PORT,
        fleet_secret=FLEET_SECRET,
        endpoint_address=standin.address,
        endpoint_kind='engine' if pool.kind == 'engine' else 'service',
        pool=pool.name,
        max_streams=pool.max_streams or pool.engine.max_streams,
        max_queue=pool.max_queue,
    )
    sidecar, scope = await start_cancellable(fleet, run_sidecar, settings)
    endpoint = Endpoint(name, pool.name, standin, sidecar, scope, settings)
    fleet.endpoints[name] = endpoint
    register_instance(fleet, name, 'sidecar', sidecar.peer_address, settings)
    return endpoint


def register_instance(
    fleet: TaskFleet,
    name: str,
    role: str,
    address: str,
    settings: EntrySettings | SidecarSettings,
    state: str = 'live',
) -> None:
    """Add an instance to the platform's instance list."""
    row = {
        'instance': name,
        'role': role,
        'failure_domain': settings.failure_domain,
        'peer_address': address,
        'pool': getattr(settings, 'pool', ''),
        'state': state,
    }
    fleet.instances.change(name, row)


async def start_entry(fleet: TaskFleet, number: int) -> EntryProcess:
    """Start one entry and register it."""
    name = f'{fleet.plan.name}-entry-{number}'
    settings = EntrySettings(
        instance=name,
        failure_domain=fleet.failure_domain_for(number),
        peer_address=ANY_PORT,
        fleet_secret=FLEET_SECRET,
        callers_address=ANY_PORT,
        operators_address=ANY_PORT,
        operator_key=OPERATOR_KEY,
        kv_address=fleet.kv.address,
        instances_address=fleet.instances.address,
        linger_s=fleet.plan.linger_s,
    )

    async def run(given: EntrySettings, *, task_status: Any) -> None:
        await run_entry(given, parts=ENTRY_PARTS, task_status=task_status)

    entry: EntryProcess
    entry, scope = await start_cancellable(fleet, run, settings)
    fleet.entries[name] = entry
    fleet.scopes[name] = scope
    register_instance(fleet, name, 'entry', entry.peer_address, settings)
    return entry


def setup_patch(plan: FleetPlan) -> list[dict[str, object]]:
    """Return the JSON Patch that configures a deployment."""
    pools = {
        pool.name: {'kind': pool.kind, 'model': pool.name}
        for pool in plan.pools
    }
    organisations = {
        name: {
            'key_sha256': hash_key(key),
            'requests_per_s': 10_000,
            'concurrency': 10_000,
        }
        for name, key in plan.organisations.items()
    }
    return [
        {'op': 'add', 'path': '/pools', 'value': pools},
        {'op': 'add', 'path': '/organisations', 'value': organisations},
        {'op': 'add', 'path': '/lending', 'value': list(plan.lending)},
    ]


async def start_fleet(group: TaskGroup, plan: FleetPlan) -> TaskFleet:
    """Start a deployment and wait until entries are connected to endpoints.

    Raises RuntimeError if the configuration is refused and TimeoutError if
    the fleet does not become ready.
    """
    fleet = TaskFleet(
        plan,
        group,
        await group.start(run_kv, KvOptions()),
        await group.start(run_instances, InstancesOptions()),
    )
    for pool in plan.pools:
        for number in range(pool.replicas):
            await start_endpoint(fleet, pool, number)
    for number in range(plan.entries):
        await start_entry(fleet, number)
    status, answer = await fleet.operator().request(
        'POST',
        '/config/patches',
        {
            'base_version': 0,
            'patch_id': f'{plan.name}-setup',
            'patch': setup_patch(plan),
        },
    )
    if status != 200:
        raise RuntimeError(f'the initial configuration was refused: {answer!r}')
    await wait_until(lambda: is_ready(fleet))
    return fleet


def is_ready(fleet: TaskFleet) -> bool:
    """Return whether all entries are configured and reach all endpoints."""
    return all(
        entry.config.version >= 1
        and sum(link.usable for link in entry.fleet.links.values())
        == len(fleet.endpoints)
        for entry in fleet.entries.values()
    )


async def wait_until(
    condition: Callable[[], bool],
    timeout_s: float = 20.0,
) -> None:
    """Poll a condition until it holds; raise TimeoutError at the limit."""
    with anyio.fail_after(timeout_s):
        while not condition():
            await anyio.sleep(POLL_INTERVAL_S)


async def stop_fleet(fleet: TaskFleet) -> None:
    """Start the graceful shutdown of everything, entries first."""
    for entry in fleet.entries.values():
        entry.stopping.set()
    for endpoint in fleet.endpoints.values():
        endpoint.sidecar.stopping.set()
    fleet.kv.server.stopping.set()
    fleet.instances.server.stopping.set()
    for endpoint in fleet.endpoints.values():
        endpoint.standin.server.stopping.set()
