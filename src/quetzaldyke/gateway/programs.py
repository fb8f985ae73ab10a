"""Starts the entry and keeper programs: settings, logs, event loop.

Each program imports only the modules that it needs, to save memory and
start-up time.
"""

from __future__ import annotations

import gc
import importlib
import os
import socket
import sys
from dataclasses import replace
from functools import partial
from types import ModuleType
from typing import Final

import anyio
from result import Err

from quetzaldyke.gateway.logs import start_logs
from quetzaldyke.gateway.model import Installation
from quetzaldyke.gateway.entry_settings import read_entry_options
from quetzaldyke.platform.settings import load_installation, settings_path

SETTINGS_ERROR_STATUS: Final = 2


def read_installation() -> Installation:
    """Return the validated settings.

    Prints all errors and exits with status 2 if they are invalid.
    """
    loaded = load_installation(settings_path())
    options = read_entry_options(os.environ)
    for read in (loaded, options):
        if isinstance(read, Err):
            sys.stderr.write(f'{read.err_value.render()}\n')
    if isinstance(loaded, Err) or isinstance(options, Err):
        sys.exit(SETTINGS_ERROR_STATUS)
    return replace(loaded.ok_value, options=options.ok_value)


def load_program(name: str) -> ModuleType:
    """Import a program; all that is loaded by now is left out of collections.

    It stays for the life of the process, and `gateway/__main__.py` has turned
    collections off until here.
    """
    module = importlib.import_module(name)
    gc.freeze()
    gc.enable()
    return module


def run_entry_program(listener: socket.socket, metrics_port: int) -> None:
    """Run an entry; `listener` is the listening socket for its callers."""
    installation = read_installation()
    writer = start_logs(installation.instance)
    module = load_program('quetzaldyke.gateway.entry_process')
    run = partial(
        module.run_entry, installation, writer, listener, metrics_port
    )
    anyio.run(run, backend_options={'use_uvloop': True})


def run_keeper_program() -> None:
    """Run the keeper until its graceful shutdown is complete."""
    installation = read_installation()
    start_logs(installation.instance)
    module = load_program('quetzaldyke.gateway.keeper')
    run = partial(module.run_keeper, installation)
    anyio.run(run, backend_options={'use_uvloop': True})
