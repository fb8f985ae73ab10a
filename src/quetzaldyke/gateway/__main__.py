"""Starts one process of a platform installation.

Usage: python -m quetzaldyke.gateway entry METRICS_PORT
       python -m quetzaldyke.gateway keeper
       python -m quetzaldyke.gateway check-settings

The settings come from the file that the platform lays for each process.
Exit status: 0 after a planned stop, 2 for wrong arguments or settings.
"""

from __future__ import annotations

import importlib
import sys
from functools import partial
from typing import Final

import anyio
from result import Err

from quetzaldyke.gateway.logs import start_logs
from quetzaldyke.gateway.model import Installation
from quetzaldyke.platform.settings import load_installation, settings_path

USAGE_STATUS: Final = 2


def main() -> None:
    """Run the program that the arguments name."""
    match sys.argv[1:]:
        case ['entry', port] if port.isdecimal():
            run('entry', int(port))
        case ['keeper']:
            run('keeper', 0)
        case ['check-settings']:
            sys.stdout.write(f'{read_installation()}\n')
        case _:
            sys.stderr.write(f'{__doc__}\n')
            sys.exit(USAGE_STATUS)


def read_installation() -> Installation:
    """Return the checked settings, or end with every finding."""
    loaded = load_installation(settings_path())
    if isinstance(loaded, Err):
        sys.stderr.write(f'{loaded.err_value.render()}\n')
        sys.exit(USAGE_STATUS)
    return loaded.ok_value


def run(program: str, metrics_port: int) -> None:
    """Run one process until its planned stop.

    Each program imports only its own modules: memory and the time to start
    count for both.
    """
    installation = read_installation()
    writer = start_logs(installation.instance)
    if program == 'entry':
        module = importlib.import_module('quetzaldyke.gateway.entry_process')
        body = partial(module.run_entry, installation, writer, metrics_port)
    else:
        module = importlib.import_module('quetzaldyke.gateway.keeper')
        body = partial(module.run_keeper, installation)
    anyio.run(body, backend_options={'use_uvloop': True})


if __name__ == '__main__':
    main()
