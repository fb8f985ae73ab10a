"""Tests of fleets of processes under each fault and each pair of faults."""

from __future__ import annotations

import itertools
import traceback
from pathlib import Path

import anyio
import pytest

from fault_scenarios import FAULTS, run_scenario

SEED = 1
# Number of fleets that run concurrently; each has twelve processes.
CONCURRENT_FLEETS = 4

SINGLE_FAULTS = [(name,) for name in FAULTS]
FAULT_PAIRS = list(itertools.combinations(FAULTS, 2))
SCENARIO_GROUPS = [
    (SINGLE_FAULTS + FAULT_PAIRS)[start : start + CONCURRENT_FLEETS]
    for start in range(0, len(SINGLE_FAULTS + FAULT_PAIRS), CONCURRENT_FLEETS)
]


@pytest.fixture(autouse=True)
def set_import_path(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make the started processes import the package from `src`."""
    source = Path(__file__).parent.parent / 'src'
    monkeypatch.setenv('PYTHONPATH', str(source))


@pytest.mark.parametrize(
    'scenarios',
    SCENARIO_GROUPS,
    ids=['-'.join('+'.join(one) for one in group) for group in SCENARIO_GROUPS],
)
def test_guarantees_hold_under_faults(scenarios: list[tuple[str, ...]]) -> None:
    """Guards against violations of guarantees under one or two faults."""

    async def run_all() -> dict[str, list[str]]:
        violations: dict[str, list[str]] = {}

        async def run_one(names: tuple[str, ...]) -> None:
            label = '+'.join(names)
            try:
                found = await run_scenario(names, SEED)
            except Exception:
                found = [traceback.format_exc()]
            if found:
                violations[label] = found

        async with anyio.create_task_group() as group:
            for names in scenarios:
                group.start_soon(run_one, names)
        return violations

    assert anyio.run(run_all) == {}, f'seed {SEED}'
