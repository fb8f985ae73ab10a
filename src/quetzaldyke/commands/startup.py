"""Measures what an entry of the gateway loads before it can answer.

After all entries of a fleet have ended at once, callers wait for as long as
the new processes import. The processor time depends on the machine; the
number of loaded modules does not, so tests bound that one.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from statistics import median
from typing import Final

SOURCE: Final = Path(__file__).resolve().parents[2]
RUNS: Final = 9
SHOWN_PACKAGES: Final = 12
# Loads what `python -m quetzaldyke.gateway entry` loads, and runs an empty
# task in its event loop.
SCRIPT: Final = """
import json, sys, time
from quetzaldyke.gateway import __main__ as program
programs = program.load_programs()
programs.load_program('quetzaldyke.gateway.entry_process')
import anyio
anyio.run(anyio.sleep, 0, backend_options={'use_uvloop': True})
print(json.dumps([time.process_time(), sorted(sys.modules)]))
"""


@dataclass(frozen=True, slots=True)
class Start:
    """The start of one process up to its event loop."""

    processor_s: float
    modules: tuple[str, ...]


def load_entry() -> Start:
    """Load an entry's modules in a new process, without site packages' hooks.

    Raises `CalledProcessError` if they can't be loaded.
    """
    paths = [str(SOURCE), *(path for path in sys.path if path)]
    finished = subprocess.run(
        [sys.executable, '-S', '-c', SCRIPT],
        env={**os.environ, 'PYTHONPATH': os.pathsep.join(paths)},
        capture_output=True,
        text=True,
        check=True,
    )
    processor_s, modules = json.loads(finished.stdout)
    return Start(processor_s, tuple(modules))


def startup(runs: int = RUNS) -> None:
    """Print the modules and the processor time of an entry's start."""
    starts = [load_entry() for _ in range(runs)]
    times_ms = [start.processor_s * 1000 for start in starts]
    modules = starts[0].modules
    packages = Counter(name.partition('.')[0] for name in modules)
    sys.stdout.write(
        f'modules {len(modules)}\n'
        f'processor ms: least {min(times_ms):.0f}, '
        f'median {median(times_ms):.0f}, most {max(times_ms):.0f}, '
        f'runs {runs}\n'
    )
    for package, count in packages.most_common(SHOWN_PACKAGES):
        sys.stdout.write(f'{count:5d} {package}\n')
