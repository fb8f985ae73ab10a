"""Starts one process of a platform installation.

Usage: python -m quetzaldyke.gateway entry|keeper
"""

from __future__ import annotations

import sys
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final

import anyio
from result import Err

from quetzaldyke.gateway.entry import run_entry
from quetzaldyke.gateway.keeper import run_keeper
from quetzaldyke.gateway.logs import LineWriter, start_logs
from quetzaldyke.gateway.model import Installation
from quetzaldyke.platform.settings import load_installation, settings_path

USAGE_STATUS: Final = 2
Program = Callable[[Installation, LineWriter], Awaitable[None]]
PROGRAMS: Final[dict[str, Program]] = {
    'entry': run_entry,
    'keeper': run_keeper,
}


def main() -> None:
    """Run the program that the argument names."""
    name = sys.argv[1] if len(sys.argv) > 1 else ''
    program = PROGRAMS.get(name)
    if program is None:
        sys.stderr.write(f'{__doc__}\n')
        sys.exit(USAGE_STATUS)
    loaded = load_installation(settings_path())
    if isinstance(loaded, Err):
        sys.stderr.write(f'{loaded.err_value.render()}\n')
        sys.exit(USAGE_STATUS)
    installation = loaded.ok_value
    writer = start_logs(installation.instance)
    anyio.run(
        partial(program, installation, writer),
        backend_options={'use_uvloop': True},
    )


if __name__ == '__main__':
    main()
