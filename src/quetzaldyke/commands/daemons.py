"""Runs the entry and sidecar daemons, configured by flags and environment."""

from __future__ import annotations

import importlib
import sys
from collections.abc import Callable, Coroutine, Mapping, Sequence
from functools import partial
from signal import SIGINT, SIGTERM
from typing import Any, Final, Protocol, TypeVar

import anyio
from anyio.abc import TaskGroup
from result import Err

from quetzaldyke.process.logs import add_stderr_destination
from quetzaldyke.process.settings import (
    EntrySettings,
    ProcessSettings,
    SidecarSettings,
    load_settings,
)

EXIT_INVALID_SETTINGS: Final = 2

RunRole = Callable[..., Coroutine[Any, Any, None]]
SettingsT = TypeVar('SettingsT', bound=ProcessSettings)


class Stoppable(Protocol):
    """A running daemon that shuts down once `stopping` is set."""

    stopping: anyio.Event


def parse_flags(arguments: Sequence[str]) -> dict[str, str]:
    """Parse `--name value` and `--name=value` flags into a mapping.

    Dashes in names become underscores; a last flag without a value maps to
    an empty string.

    >>> parse_flags(['--pool', 'orders', '--max-streams=4'])
    {'pool': 'orders', 'max_streams': '4'}
    """
    flags: dict[str, str] = {}
    pending_flag = ''
    for argument in arguments:
        if pending_flag:
            flags[pending_flag] = argument
            pending_flag = ''
            continue
        name, equals, text = argument.partition('=')
        flag = name.removeprefix('--').replace('-', '_')
        if equals:
            flags[flag] = text
        else:
            pending_flag = flag
    if pending_flag:
        flags[pending_flag] = ''
    return flags


def settings_or_exit(
    model: type[SettingsT],
    flags: Mapping[str, object],
) -> SettingsT:
    """Return validated settings; on errors print them all and exit with 2."""
    loaded = load_settings(model, flags)
    if isinstance(loaded, Err):
        sys.stderr.write(f'{loaded.err_value.render()}\n')
        sys.exit(EXIT_INVALID_SETTINGS)
    return loaded.ok_value


async def stop_on_signal(process: Stoppable, scope: anyio.CancelScope) -> None:
    """Shut down gracefully on SIGTERM or SIGINT, at once on a second one."""
    with anyio.open_signal_receiver(SIGTERM, SIGINT) as signals:
        async for _ in signals:
            if process.stopping.is_set():
                scope.cancel()
            process.stopping.set()


async def run_role(
    run: RunRole,
    settings: ProcessSettings,
) -> None:
    """Run a daemon until its graceful shutdown is complete."""
    async with anyio.create_task_group() as signal_group:
        async with anyio.create_task_group() as group:
            process = await start_role(group, run, settings)
            signal_group.start_soon(stop_on_signal, process, group.cancel_scope)
        signal_group.cancel_scope.cancel()


async def start_role(
    group: TaskGroup,
    run: RunRole,
    settings: ProcessSettings,
) -> Stoppable:
    """Start a daemon in a task group and return its process object."""
    process: Stoppable = await group.start(run, settings)
    return process


def run_daemon(run: RunRole, settings: ProcessSettings) -> None:
    """Run a daemon on uvloop, logging to standard error."""
    add_stderr_destination()
    anyio.run(run_role, run, settings, backend_options={'use_uvloop': True})


def entry(*arguments: str) -> None:
    """Run an entry with settings from flags and the environment."""
    settings = settings_or_exit(EntrySettings, parse_flags(arguments))
    # Imported lazily so that a sidecar does not load the entry's libraries.
    module = importlib.import_module('quetzaldyke.process.entry')
    table = importlib.import_module('quetzaldyke.process.entry_table')
    run_daemon(partial(module.run_entry, parts=table.ENTRY_PARTS), settings)


def sidecar(*arguments: str) -> None:
    """Run a sidecar with settings from flags and the environment."""
    settings = settings_or_exit(SidecarSettings, parse_flags(arguments))
    module = importlib.import_module('quetzaldyke.process.sidecar')
    run_daemon(module.run_sidecar, settings)
