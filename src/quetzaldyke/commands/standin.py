"""Runs one stand-in for a platform service as a separate process.

Flags set the fields of the stand-in's options. SIGTERM and SIGINT stop it.
"""

from __future__ import annotations

import dataclasses
import signal
import sys
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Final, Protocol

import anyio
from result import Err, Ok, Result

from quetzaldyke.parts.errors import Errors
from quetzaldyke.process.settings import check_address
from quetzaldyke.standins.engine import run_engine
from quetzaldyke.standins.engine_options import EngineOptions
from quetzaldyke.standins.instances import InstancesOptions, run_instances
from quetzaldyke.standins.kv import KvOptions, run_kv
from quetzaldyke.standins.platform_endpoint import (
    PlatformEndpointOptions,
    run_platform_endpoint,
)
from quetzaldyke.standins.platform_store import (
    PlatformStoreOptions,
    run_platform_store,
)
from quetzaldyke.standins.service import ServiceOptions, run_service

EXIT_USAGE: Final = 2


class Standin(Protocol):
    """Interface of a running stand-in."""

    @property
    def address(self) -> str:
        """Return the bound address."""

    @property
    def stopping(self) -> anyio.Event:
        """Return the event that stops the stand-in."""


@dataclass(frozen=True, slots=True)
class StandinKind:
    """Options type and run function of one kind of stand-in."""

    options: type[Any]
    run: Callable[..., Coroutine[Any, Any, None]]


KINDS: Final = {
    'kv': StandinKind(KvOptions, run_kv),
    'engine': StandinKind(EngineOptions, run_engine),
    'service': StandinKind(ServiceOptions, run_service),
    'instances': StandinKind(InstancesOptions, run_instances),
    'platform-store': StandinKind(PlatformStoreOptions, run_platform_store),
    'platform-endpoint': StandinKind(
        PlatformEndpointOptions, run_platform_endpoint
    ),
}


def parse_options(kind: str, flags: dict[str, object]) -> Result[Any, Errors]:
    """Build a stand-in's options from flags, or return all errors.

    >>> parse_options('kv', {'seed': 7}).ok_value
    KvOptions(address='127.0.0.1:0', seed=7)
    >>> print(parse_options('kv', {'seed': 'x', 'no': 1}).err_value.render())
    --no: is not a flag of this stand-in
    --seed: must be of type int
    """
    errors = Errors()
    if kind not in KINDS:
        errors.add('kind', f'must be one of {", ".join(KINDS)}')
        return Err(errors)
    model = KINDS[kind].options
    defaults = dataclasses.asdict(model())
    parsed: dict[str, object] = {}
    for name, raw in flags.items():
        flag = f'--{name.replace("_", "-")}'
        if name not in defaults:
            errors.add(flag, 'is not a flag of this stand-in')
            continue
        expected = type(defaults[name])
        parsed[name] = convert_flag(raw, expected)
        if parsed[name] is None:
            errors.add(flag, f'must be of type {expected.__name__}')
    check_address_flag(parsed, errors)
    return Err(errors) if errors.found else Ok(model(**parsed))


def convert_flag(raw: object, expected: type) -> object:
    """Convert a flag's value to its field's type; None if it doesn't fit."""
    # bool is a subclass of int, but is not accepted as a number here.
    if isinstance(raw, bool) is not (expected is bool):
        return None
    if expected is float and isinstance(raw, int):
        return float(raw)
    if expected is str and isinstance(raw, int | float):
        return str(raw)
    return raw if isinstance(raw, expected) else None


def check_address_flag(parsed: dict[str, object], errors: Errors) -> None:
    """Add an error if the listen address is not valid."""
    try:
        check_address(str(parsed.get('address', '127.0.0.1:0')))
    except ValueError as exc:
        errors.add('--address', str(exc))


async def serve_standin(kind: str, options: object) -> None:
    """Run a stand-in until a signal; print its address once it listens."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async with anyio.create_task_group() as group:
            standin: Standin = await group.start(KINDS[kind].run, options)
            address = standin.address
            print(f'event=standin_started kind={kind} address={address}')
            sys.stdout.flush()
            await anext(aiter(received))
            standin.stopping.set()


def run_standin(kind: str, **flags: object) -> None:
    """Run a stand-in for a platform service until a signal.

    Args:
        kind: kv, engine, service, instances, platform-store or
            platform-endpoint.
        flags: fields of its options, for example --address 127.0.0.1:7001.
    """
    options = parse_options(kind, flags)
    if isinstance(options, Err):
        print(options.err_value.render(), file=sys.stderr)
        sys.exit(EXIT_USAGE)
    anyio.run(
        serve_standin,
        kind,
        options.ok_value,
        backend_options={'use_uvloop': True},
    )
