"""The programs of a platform installation, from settings to event loop.

Each program imports only its own modules: memory and the time to start count
for both.
"""

from __future__ import annotations

import importlib
import socket
import sys
from functools import partial
from typing import Final

import anyio
from result import Err

from quetzaldyke.gateway.logs import start_logs
from quetzaldyke.gateway.model import Installation
from quetzaldyke.platform.settings import load_installation, settings_path

SETTINGS_STATUS: Final = 2


def read_installation() -> Installation:
    """Return the checked settings, or end with every finding."""
    loaded = load_installation(settings_path())
    if isinstance(loaded, Err):
        sys.stderr.write(f'{loaded.err_value.render()}\n')
        sys.exit(SETTINGS_STATUS)
    return loaded.ok_value


def run_entry_program(callers: socket.socket, metrics_port: int) -> None:
    """Run an entry that already listens for its callers."""
    installation = read_installation()
    writer = start_logs(installation.instance)
    module = importlib.import_module('quetzaldyke.gateway.entry_process')
    run = partial(module.run_entry, installation, writer, callers, metrics_port)
    anyio.run(run, backend_options={'use_uvloop': True})


def run_keeper_program() -> None:
    """Run a keeper."""
    installation = read_installation()
    start_logs(installation.instance)
    module = importlib.import_module('quetzaldyke.gateway.keeper')
    run = partial(module.run_keeper, installation)
    anyio.run(run, backend_options={'use_uvloop': True})
