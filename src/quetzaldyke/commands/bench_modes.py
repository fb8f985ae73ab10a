"""Scheduling policies that the benchmark compares.

`no_batch`: online requests only. `no_priority`: batch items are sent as
online requests, and the engines admit everything in order of arrival.
`static_split`: some endpoints are reserved for batch. `lending`: a job with
grants, preemption and headroom, which is what the daemons implement.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Final

from quetzaldyke.commands.task_fleet import FleetPlan, PoolPlan
from quetzaldyke.standins.engine_options import EngineOptions

ORGANISATION: Final = 'bench'
KEY: Final = 'bench-caller-key'
ONLINE_POOL: Final = 'rota'
BATCH_POOL: Final = 'drafts'
# Passes all requests on, so that the engine queues them without priorities.
UNLIMITED: Final = 512
ENGINE: Final = EngineOptions(
    max_streams=8,
    step_ms=25.0,
    per_stream_ms=0.25,
    prefill_ms_per_token=0.1,
)


@dataclass(frozen=True, slots=True)
class Mode:
    """One policy and its split of the endpoints."""

    name: str
    replicas: int
    batch_replicas: int = 0
    batch_as_online: bool = False
    job: bool = False
    online: bool = True

    def plan(self) -> FleetPlan:
        """Return the deployment that implements the policy."""
        online = PoolPlan(ONLINE_POOL, self.replicas, engine=ENGINE)
        if self.batch_as_online:
            online = replace(online, max_streams=UNLIMITED, max_queue=UNLIMITED)
        pools = [online]
        if self.batch_replicas:
            pools.append(
                PoolPlan(BATCH_POOL, self.batch_replicas, engine=ENGINE),
            )
        return FleetPlan(
            self.name.replace('_', '-'),
            ('a', 'b', 'c', 'd'),
            entries=2,
            pools=tuple(pools),
            organisations={ORGANISATION: KEY},
        )

    @property
    def batch_pool(self) -> str:
        """Return the pool that the job runs on."""
        return BATCH_POOL if self.batch_replicas else ONLINE_POOL


REPLICAS: Final = 5
MODES: Final[Sequence[Mode]] = (
    Mode('no_batch', REPLICAS),
    Mode('no_priority', REPLICAS, batch_as_online=True),
    Mode('static_split', REPLICAS - 2, batch_replicas=2, job=True),
    Mode('lending', REPLICAS, job=True),
)


def endpoint_requests_per_s(tokens: int) -> float:
    """Return the requests per second of one fully loaded endpoint."""
    step_ms = ENGINE.step_ms + ENGINE.per_stream_ms * ENGINE.max_streams
    return ENGINE.max_streams / (tokens * step_ms / 1000)
