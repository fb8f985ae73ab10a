"""Measures how costs grow with size, for docs/CAPACITY.md."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Final

import anyio

from quetzaldyke.commands import probes
from quetzaldyke.commands import probes_fleet as fleets
from quetzaldyke.commands.slopes import Probe, Slope, measure

RUNS: Final = 3
FLEET_RUNS: Final = 2


@dataclass(frozen=True, slots=True)
class Measurement:
    """A probe, the units of its costs and the sizes to measure."""

    units: Mapping[str, str]
    probe: Probe
    sizes: tuple[int, ...]
    runs: int = RUNS


def single_cost(
    name: str,
    unit: str,
    probe: Callable[[int], Awaitable[float]],
    sizes: tuple[int, ...],
) -> Measurement:
    """Return the measurement of a probe that returns a single cost."""

    async def measure_named(size: int) -> Mapping[str, float]:
        return {name: await probe(size)}

    return Measurement({name: unit}, measure_named, sizes)


ORGANISATIONS: Final = (700, 1400, 2800, 5600)
ENTRIES: Final = (155, 310, 620)
MEASUREMENTS: Final = (
    single_cost('frame_cost', 'us/frame', probes.frame_cost_us, (1, 4, 8, 32)),
    single_cost(
        'session_memory', 'KB', probes.session_memory_kb, (20, 60, 120)
    ),
    single_cost(
        'session_cpu', '%core', probes.session_cpu_percent, (20, 60, 120)
    ),
    single_cost('document_size', 'KB', probes.document_kb, ORGANISATIONS),
    single_cost('document_adopt', 'ms', probes.adopt_ms, ORGANISATIONS),
    single_cost('subset_choice', 'ms', probes.subset_ms, ENTRIES),
    single_cost('owner_choice', 'us', probes.owner_us, ENTRIES),
    Measurement(
        {'entry_relay': 'us/request', 'sidecar_relay': 'us/request'},
        fleets.relay_costs,
        (16, 64, 160),
        FLEET_RUNS,
    ),
    Measurement(
        {'entry_idle': '%core', 'entry_memory': 'MB'},
        fleets.entry_costs,
        (4, 10, 18),
        FLEET_RUNS,
    ),
    Measurement(
        {
            'sidecar_idle': '%core',
            'sidecar_memory': 'MB',
            'store_calls': 'calls/s',
        },
        fleets.sidecar_costs,
        (1, 4, 8),
        FLEET_RUNS,
    ),
)


async def measure_all() -> list[Slope]:
    """Run all measurements in sequence and print each fit."""
    slopes_found: list[Slope] = []
    for measurement in MEASUREMENTS:
        slopes = await measure(
            measurement.units,
            measurement.probe,
            measurement.sizes,
            measurement.runs,
        )
        print('\n'.join(slope.line() for slope in slopes), flush=True)
        slopes_found.extend(slopes)
    return slopes_found


def capacity() -> None:
    """Measure and print the cost slopes of docs/CAPACITY.md."""
    anyio.run(measure_all, backend_options={'use_uvloop': True})
