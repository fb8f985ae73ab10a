"""Entry point of the executable: dispatches to a sub-command."""

from __future__ import annotations

import importlib
import sys
from typing import Final

from quetzaldyke.commands.table import COMMANDS, DAEMONS, resolve, usage

EXIT_USAGE: Final = 2


def main() -> None:
    """Run the sub-command that the first argument names.

    An unknown or missing name prints the usage and exits with status 2.
    """
    name, *arguments = sys.argv[1:] or ['']
    if name not in COMMANDS:
        sys.stderr.write(f'{usage()}\n')
        sys.exit(EXIT_USAGE)
    command = resolve(name)
    if name in DAEMONS:
        # Daemons bypass fire: importing it costs 12 MB in every sidecar, and
        # it converts strings that look like numbers, such as an all-digit
        # secret, to numbers.
        command(*arguments)
        return
    fire = importlib.import_module('fire')
    fire.Fire(command, command=arguments, name=f'quetzaldyke {name}')
