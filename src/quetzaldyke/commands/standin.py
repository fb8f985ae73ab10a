"""Runs one stand-in of the platform as a process of its own."""

from __future__ import annotations

import dataclasses
import importlib
import sys
from collections.abc import Callable
from typing import Any, Final

import anyio
from result import Err, Ok, Result

from quetzaldyke.commands.daemons import stop_on_signal
from quetzaldyke.parts.errors import Errors
from quetzaldyke.process.settings import flag_of

USAGE_STATUS: Final = 2

# Module, options class and run function of each stand-in.
KINDS: Final = {
    'kv': ('kv', 'KvOptions', 'run_kv'),
    'engine': ('engine', 'EngineOptions', 'run_engine'),
    'service': ('service', 'ServiceOptions', 'run_service'),
    'instances': ('instances', 'InstancesOptions', 'run_instances'),
}


def make_options(
    options_type: type[Any],
    flags: dict[str, object],
) -> Result[Any, Errors]:
    """Build the options of a stand-in or report every wrong flag."""
    errors = Errors()
    defaults = options_type()
    for name, given in flags.items():
        default = getattr(defaults, name, None)
        if name not in {one.name for one in dataclasses.fields(defaults)}:
            errors.add(flag_of(name), 'unknown flag')
        elif isinstance(default, float) and isinstance(given, int):
            flags[name] = float(given)
        elif not isinstance(given, type(default)):
            errors.add(flag_of(name), f'must be {type(default).__name__}')
    if errors.found:
        return Err(errors)
    return Ok(dataclasses.replace(defaults, **flags))


async def run_until_signal(run: Callable[..., Any], options: object) -> None:
    """Run a stand-in until SIGTERM or SIGINT."""
    async with anyio.create_task_group() as signals:
        async with anyio.create_task_group() as group:
            standin = await group.start(run, options)
            print(f'event=standin_started address={standin.address}')
            signals.start_soon(stop_on_signal, standin, group.cancel_scope)
        signals.cancel_scope.cancel()


def run_standin(kind: str = '', **flags: object) -> None:
    """Run a stand-in: kv, engine, service or instances."""
    if kind not in KINDS:
        sys.stderr.write(f'standin: one of {", ".join(KINDS)}\n')
        sys.exit(USAGE_STATUS)
    module_name, options_name, run_name = KINDS[kind]
    module = importlib.import_module(f'quetzaldyke.standins.{module_name}')
    made = make_options(getattr(module, options_name), flags)
    if isinstance(made, Err):
        sys.stderr.write(f'{made.err_value.render()}\n')
        sys.exit(USAGE_STATUS)
    anyio.run(
        run_until_signal,
        getattr(module, run_name),
        made.ok_value,
        backend_options={'use_uvloop': True},
    )
