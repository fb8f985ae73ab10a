"""Starts one process of a platform installation.

Usage: python -m quetzaldyke.gateway entry CALLERS_ADDRESS METRICS_PORT
       python -m quetzaldyke.gateway keeper
       python -m quetzaldyke.gateway check-settings

CALLERS_ADDRESS (HOST:PORT) is where callers connect. All other settings come
from the file that the platform provides for each process.
Exit status: 0 after a graceful shutdown, 2 for invalid arguments or settings.
"""

from __future__ import annotations

import gc
import importlib
import os
import socket
import sys
from types import ModuleType
from typing import Final

from quetzaldyke.connection.listener import listen

USAGE_ERROR_STATUS: Final = 2


def main() -> None:
    """Run the program that the arguments select.

    An entry listens before its modules are imported, because the import
    takes a few hundred milliseconds on a small machine.
    """
    match sys.argv[1:]:
        case ['entry', address, port] if port.isdecimal():
            listener = listen_or_exit(address)
            load_programs().run_entry_program(listener, int(port))
        case ['keeper']:
            load_programs().run_keeper_program()
        case ['check-settings']:
            sys.stdout.write(f'{load_programs().read_installation()}\n')
        case _:
            sys.stderr.write(f'{__doc__}\n')
            sys.exit(USAGE_ERROR_STATUS)


def load_programs() -> ModuleType:
    """Import the modules that take long to load.

    They stay loaded, so looking for garbage among them only costs time; the
    programs turn it on again. pydantic would read the metadata of all
    installed packages in search of plugins, of which there are none.
    """
    gc.disable()
    os.environ.setdefault('PYDANTIC_DISABLE_PLUGINS', '__all__')
    return importlib.import_module('quetzaldyke.gateway.programs')


def listen_or_exit(address: str) -> socket.socket:
    """Return a listening socket; print the error and exit on failure."""
    try:
        return listen(address)
    except (OSError, ValueError, OverflowError) as exc:
        sys.stderr.write(f'CALLERS_ADDRESS {address}: {exc}\n')
        sys.exit(USAGE_ERROR_STATUS)


if __name__ == '__main__':
    main()
