"""Plans which pool each endpoint serves; sends no orders itself.

A pool with a `replicas` count gets that many endpoints. An endpoint serves
its own pool's model unless it is assigned to another pool that is short of
replicas while its own pool has a surplus.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

import msgpack

from quetzaldyke.version.configuration import Configuration, Pool

# How long a shortage must last before an endpoint is moved. A restarted
# engine is back within this time, and loading a model takes as long as
# several restarts.
MIN_SHORTAGE_MS: Final = 30_000
# Minimum time that an endpoint stays after a move, unless its own pool is
# short of replicas.
MIN_STAY_MS: Final = 300_000
# A load whose end was not observed counts against the load limit for this
# long.
LOAD_TIMEOUT_MS: Final = 900_000


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Last reported state of one endpoint."""

    instance: str
    pool: str
    up: bool
    model: str
    version: str
    adapter: str


@dataclass(frozen=True, slots=True)
class Placement:
    """Stored value of the key `placement`."""

    # Incremented by each new leader; the fencing token of its orders.
    epoch: int = 0
    leader: str = ''
    # Assigned pool of each endpoint that serves another pool than its own.
    assigned: Mapping[str, str] = field(default_factory=dict)
    moved_ms: Mapping[str, int] = field(default_factory=dict)
    # Time at which the load was first ordered, for each loading endpoint.
    loads: Mapping[str, int] = field(default_factory=dict)

    @classmethod
    def unpack(cls, payload: bytes) -> Placement:
        """Decode a stored payload; an empty one gives epoch 0."""
        return cls(*msgpack.unpackb(payload)) if payload else cls()

    def pack(self) -> bytes:
        """Encode for storage."""
        row = [
            self.epoch,
            self.leader,
            dict(self.assigned),
            dict(self.moved_ms),
            dict(self.loads),
        ]
        return bytes(msgpack.packb(row))

    def pool_of(self, endpoint: Endpoint) -> str:
        """Return the pool that an endpoint should serve."""
        return self.assigned.get(endpoint.instance, endpoint.pool)


@dataclass(frozen=True, slots=True)
class Move:
    """Reassignment of an endpoint to another pool."""

    instance: str
    from_pool: str
    to_pool: str


def managed_pools(configuration: Configuration) -> dict[str, Pool]:
    """Return the engine pools that have a replica count and a model."""
    return {
        name: pool
        for name, pool in configuration.pools.items()
        if pool.kind == 'engine' and pool.replicas and pool.model
    }


def serves_pool(endpoint: Endpoint, pool: Pool) -> bool:
    """Tell whether an endpoint has loaded what the pool specifies.

    A version or adapter that the pool leaves empty is not compared.
    """
    wanted = (pool.model, pool.version, pool.adapter)
    loaded = (endpoint.model, endpoint.version, endpoint.adapter)
    return all(
        not expected or expected == actual
        for expected, actual in zip(wanted, loaded, strict=True)
    )


def misplaced(
    placement: Placement,
    pools: Mapping[str, Pool],
    endpoints: Sequence[Endpoint],
) -> list[Endpoint]:
    """Return the endpoints that are up but don't serve their pool.

    Endpoints whose load is in progress are included.
    """
    return [
        endpoint
        for endpoint in endpoints
        if endpoint.up
        and placement.pool_of(endpoint) in pools
        and not serves_pool(endpoint, pools[placement.pool_of(endpoint)])
    ]


def surplus_by_pool(
    placement: Placement,
    pools: Mapping[str, Pool],
    endpoints: Sequence[Endpoint],
) -> dict[str, int]:
    """Return the endpoints of each pool that are up, minus its replicas."""
    counts = Counter(
        placement.pool_of(endpoint) for endpoint in endpoints if endpoint.up
    )
    return {name: counts[name] - pool.replicas for name, pool in pools.items()}


@dataclass(slots=True)
class ShortageTracker:
    """Records since when each pool has been short of endpoints.

    A shortage counts only while another pool has a surplus.
    """

    since_ms: dict[str, int] = field(default_factory=dict)

    def lasting(self, surplus: Mapping[str, int], now_ms: int) -> list[str]:
        """Update the shortages; return those of MIN_SHORTAGE_MS, worst first.

        All shortages end when no pool has a surplus.

        >>> shortages = ShortageTracker()
        >>> shortages.lasting({'a': -1, 'b': 2}, 0)
        []
        >>> shortages.lasting({'a': -1, 'b': 2}, MIN_SHORTAGE_MS)
        ['a']
        >>> shortages.lasting({'a': 0, 'b': 1}, MIN_SHORTAGE_MS)
        []
        """
        has_donor = any(extra > 0 for extra in surplus.values())
        short = [
            name for name, extra in surplus.items() if extra < 0 and has_donor
        ]
        self.since_ms = {
            name: self.since_ms.get(name, now_ms) for name in short
        }
        lasting_pools = [
            name
            for name in short
            if now_ms - self.since_ms[name] >= MIN_SHORTAGE_MS
        ]
        return sorted(lasting_pools, key=lambda name: (surplus[name], name))


def plan_move(
    placement: Placement,
    pools: Mapping[str, Pool],
    endpoints: Sequence[Endpoint],
    shortages: ShortageTracker,
    now_ms: int,
) -> Move | None:
    """Return the next move, or None when nothing should move.

    An endpoint is taken only from a pool that has more than its count, so
    a move never causes a shortage and is not reversed by the next one.
    """
    surplus = surplus_by_pool(placement, pools, endpoints)
    for short_pool in shortages.lasting(surplus, now_ms):
        candidates = [
            endpoint
            for endpoint in endpoints
            if endpoint.up
            and surplus.get(placement.pool_of(endpoint), 0) > 0
            and may_move(placement, endpoint, short_pool, now_ms)
        ]
        # Prefer an endpoint that returns to its own pool.
        returning = [
            endpoint for endpoint in candidates if endpoint.pool == short_pool
        ]
        for chosen in returning or candidates:
            return Move(chosen.instance, placement.pool_of(chosen), short_pool)
    return None


def may_move(
    placement: Placement,
    endpoint: Endpoint,
    short_pool: str,
    now_ms: int,
) -> bool:
    """Tell whether an endpoint may move to `short_pool` now.

    A loading endpoint may not. A return to the endpoint's own pool is
    allowed before MIN_STAY_MS has passed.
    """
    if endpoint.instance in placement.loads:
        return False
    if endpoint.pool == short_pool:
        return True
    moved_ms = placement.moved_ms.get(endpoint.instance)
    return moved_ms is None or now_ms - moved_ms >= MIN_STAY_MS


def apply_move(placement: Placement, move: Move, own_pool: str) -> Placement:
    """Return the placement after a move; the caller sets `moved_ms`."""
    assigned = dict(placement.assigned)
    if move.to_pool == own_pool:
        assigned.pop(move.instance, None)
    else:
        assigned[move.instance] = move.to_pool
    return Placement(
        placement.epoch,
        placement.leader,
        assigned,
        placement.moved_ms,
        placement.loads,
    )


def ended_loads(
    placement: Placement,
    pools: Mapping[str, Pool],
    endpoints: Sequence[Endpoint],
    refused: set[str],
    now_ms: int,
) -> set[str]:
    """Return the endpoints whose load no longer uses the weight store.

    A load ends when it is refused or done, when it exceeds
    LOAD_TIMEOUT_MS, or when its pool is no longer in `pools`.
    """
    by_name = {endpoint.instance: endpoint for endpoint in endpoints}
    ended = set(refused)
    for name, started_ms in placement.loads.items():
        endpoint = by_name.get(name)
        if now_ms - started_ms >= LOAD_TIMEOUT_MS:
            ended.add(name)
        if endpoint is None:
            continue
        pool = pools.get(placement.pool_of(endpoint))
        if pool is None or (endpoint.up and serves_pool(endpoint, pool)):
            ended.add(name)
    return ended & placement.loads.keys()
