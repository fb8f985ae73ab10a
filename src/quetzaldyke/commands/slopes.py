"""Fits straight lines to measured costs as a function of size."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from statistics import fmean, median

Probe = Callable[[int], Awaitable[Mapping[str, float]]]


@dataclass(frozen=True, slots=True)
class Slope:
    """Cost = base + per_unit * size, with the spread of repeated runs."""

    name: str
    unit: str
    sizes: tuple[int, ...]
    medians: tuple[float, ...]
    per_unit: float
    base: float
    # Largest relative deviation of a run from the median of its size.
    spread: float

    def at(self, size: float) -> float:
        """Return the cost that the fit predicts for a size."""
        return self.base + self.per_unit * size

    def line(self) -> str:
        """Return the fit as a line of key=value pairs."""
        points = ','.join(
            f'{size}:{cost:.4g}'
            for size, cost in zip(self.sizes, self.medians, strict=True)
        )
        return (
            f'slope={self.name} unit={self.unit} points={points} '
            f'per_unit={self.per_unit:.4g} base={self.base:.4g} '
            f'spread={self.spread:.2f}'
        )


def fit(sizes: Sequence[float], costs: Sequence[float]) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line.

    >>> fit([1, 2, 3], [5, 7, 9])
    (2.0, 3.0)
    """
    mean_size = fmean(sizes)
    mean_cost = fmean(costs)
    covariance_sum = sum(
        (size - mean_size) * (cost - mean_cost)
        for size, cost in zip(sizes, costs, strict=True)
    )
    variance_sum = sum((size - mean_size) ** 2 for size in sizes)
    per_unit = covariance_sum / variance_sum if variance_sum else 0.0
    return per_unit, mean_cost - per_unit * mean_size


async def measure(
    units: Mapping[str, str],
    probe: Probe,
    sizes: Sequence[int],
    runs: int,
) -> list[Slope]:
    """Run a probe repeatedly at each size and fit a line to each cost."""
    costs_by_name: dict[str, list[list[float]]] = {name: [] for name in units}
    for size in sizes:
        results = [await probe(size) for _ in range(runs)]
        for name in units:
            costs_by_name[name].append([costs[name] for costs in results])
    return [
        fit_slope(name, unit, sizes, costs_by_name[name])
        for name, unit in units.items()
    ]


def fit_slope(
    name: str,
    unit: str,
    sizes: Sequence[int],
    runs: Sequence[Sequence[float]],
) -> Slope:
    """Fit a line to the medians of the runs at each size."""
    medians = [median(costs) for costs in runs]
    spread = max(
        max(abs(cost - middle) for cost in costs) / middle if middle else 0.0
        for costs, middle in zip(runs, medians, strict=True)
    )
    per_unit, base = fit(sizes, medians)
    return Slope(
        name,
        unit,
        tuple(sizes),
        tuple(medians),
        per_unit,
        base,
        spread,
    )
