"""Tests how the benchmark reports failed processes and short windows."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from typing import Final

import anyio
import pytest

from quetzaldyke.commands.bench import BATCH_WINDOW_S, compare
from quetzaldyke.commands.bench_figures import Figures
from quetzaldyke.commands.process_fleet import (
    FleetStartError,
    Member,
    ProcessFleet,
    child_environment,
    raise_if_exited,
)
from quetzaldyke.commands.task_fleet import FleetPlan

pytestmark = pytest.mark.anyio
MODES: Final = ('no_batch', 'no_priority', 'lending')
FAILING: Final = 'import sys; sys.exit("no such setting")'


def test_children_import_the_package_from_any_working_directory() -> None:
    """Guards against children of a one-file executable that can't start."""
    found = subprocess.run(
        [sys.executable, '-c', 'import quetzaldyke, shiv_marker'],
        env=child_environment(),
        cwd='/',
        capture_output=True,
        text=True,
        check=False,
    )
    # quetzaldyke was imported; only the nonexistent module fails.
    assert "No module named 'shiv_marker'" in found.stderr


async def test_exited_child_is_reported_with_its_errors() -> None:
    """Guards against a timeout that hides why a process exited."""
    with tempfile.TemporaryFile() as errors:
        process = await anyio.open_process(
            [sys.executable, '-c', FAILING],
            stderr=errors,
        )
        await process.wait()
        member = Member('entry-0', 'entry', '', process, errors)
        fleet = ProcessFleet(FleetPlan('x', (), 0, (), {}), {'entry-0': member})
        with pytest.raises(FleetStartError, match='no such setting'):
            raise_if_exited(fleet)


async def test_running_children_are_not_reported() -> None:
    """Guards against reporting running processes as exited."""
    raise_if_exited(ProcessFleet(FleetPlan('x', (), 0, (), {})))


@pytest.mark.parametrize(
    ('window_s', 'batch_expected'),
    [(BATCH_WINDOW_S, True), (BATCH_WINDOW_S / 2, False)],
)
def test_short_window_omits_batch_figures(
    window_s: float,
    batch_expected: bool,
) -> None:
    """Guards against batch figures from a window shorter than an item."""
    found = {mode: Figures(mode) for mode in MODES}
    names = compare(found, window_s)
    assert ('idle_use' in names) is batch_expected
    assert ('throughput_ratio' in names) is batch_expected
    assert 'harm_ratio' in names
    lines = found['lending'].lines(batch=batch_expected)
    assert any('idle_use' in line for line in lines) is batch_expected
