"""Entry point of the executable: hands the sub-commands to fire."""

from __future__ import annotations

import importlib
import sys
from typing import Final

from quetzaldyke.commands.table import COMMANDS, DAEMONS, resolve, usage

EXIT_USAGE: Final = 2


def main() -> None:
    """Run the sub-command that the arguments name."""
    name, *arguments = sys.argv[1:] or ['']
    if name not in COMMANDS:
        sys.stderr.write(f'{usage()}\n')
        sys.exit(EXIT_USAGE)
    command = resolve(name)
    if name in DAEMONS:
        # fire takes 12 MB, which every sidecar would pay, and turns texts
        # that look like numbers, such as a secret of digits, into numbers.
        command(*arguments)
        return
    fire = importlib.import_module('fire')
    fire.Fire(command, command=arguments, name=f'quetzaldyke {name}')
