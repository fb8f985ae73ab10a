"""Measures the slopes behind docs/CAPACITY.md and prints them."""

from __future__ import annotations

from typing import Final

import anyio

from quetzaldyke.commands import probes
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


async def measure_all() -> list[Slope]:
    """Measure every slope, one after the other."""
    found = []
    for name, unit, probe, sizes in PROBES:
        slope = await measure(name, unit, probe, sizes)
        print(slope.line(), flush=True)
        found.append(slope)
    return found


def capacity() -> None:
    """Measure and print the slopes of docs/CAPACITY.md."""
    anyio.run(measure_all, backend_options={'use_uvloop': True})
