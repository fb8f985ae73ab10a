"""Measures the slopes behind docs/CAPACITY.md and prints them."""

from __future__ import annotations

from typing import Final

import anyio

from quetzaldyke.commands import probes
from quetzaldyke.commands import probes_fleet as fleets
from quetzaldyke.commands.slopes import Probe, Slope, measure

PROBES: Final[tuple[tuple[str, str, Probe, tuple[int, ...]], ...]] = (
    ('frame_cost', 'us/frame', probes.frame_cost_us, (1, 4, 8, 32)),
    ('session_memory', 'KB', probes.session_memory_kb, (20, 60, 120)),
    ('session_cpu', '%core', probes.session_cpu_percent, (20, 60, 120)),
    ('document_size', 'KB', probes.document_kb, (700, 1400, 2800, 5600)),
    ('document_adopt', 'ms', probes.adopt_ms, (700, 1400, 2800, 5600)),
    ('subset_choice', 'ms', probes.subset_ms, (155, 310, 620)),
    ('owner_choice', 'us', probes.owner_us, (155, 310, 620)),
)
FLEET_PROBES: Final[tuple[tuple[str, str, Probe, tuple[int, ...]], ...]] = (
    ('entry_relay', 'us/request', fleets.entry_relay_us, (16, 64, 192)),
    ('sidecar_relay', 'us/request', fleets.sidecar_relay_us, (16, 64, 192)),
    ('entry_idle', '%core', fleets.entry_idle_percent, (4, 12, 24)),
    ('sidecar_idle', '%core', fleets.sidecar_idle_percent, (1, 4, 8)),
    ('entry_memory', 'MB', fleets.entry_memory_mb, (4, 12, 24)),
    ('sidecar_memory', 'MB', fleets.sidecar_memory_mb, (1, 4, 8)),
    ('store_calls', 'calls/s', fleets.store_calls_per_s, (1, 3, 6)),
)
RUNS: Final = 3
FLEET_RUNS: Final = 2


async def measure_all() -> list[Slope]:
    """Measure every slope, one after the other."""
    found = []
    for table, runs in ((PROBES, RUNS), (FLEET_PROBES, FLEET_RUNS)):
        for name, unit, probe, sizes in table:
            slope = await measure(name, unit, probe, sizes, runs)
            print(slope.line(), flush=True)
            found.append(slope)
    return found


def capacity() -> None:
    """Measure and print the slopes of docs/CAPACITY.md."""
    anyio.run(measure_all, backend_options={'use_uvloop': True})
