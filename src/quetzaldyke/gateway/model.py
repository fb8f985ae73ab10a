"""What an entry believes about its installation, in the project's words.

The adapter decodes the platform's records into these types. They hold no
behaviour beyond simple look-ups and live as long as one configuration
version or one registration of an endpoint.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

RouteKind = Literal['idempotent', 'non_idempotent', 'stream', 'batch']
EndpointState = Literal['ready', 'draining']


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that a route sends a share of its requests to."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class BatchRouteOptions:
    """What a batch route promises about its jobs."""

    # From the first submission to the last result.
    completion_target_s: float
    # From the first submission until an item may be given up.
    max_wait_s: float
    # Tokens of unfinished items over all jobs; 0 means no limit.
    max_waiting_tokens: int


@dataclass(frozen=True, slots=True)
class Route:
    """Where the requests of one host and path prefix go."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    # Latency objective: first event of a stream, whole answer otherwise.
    target_s: float
    # 0 is the most urgent.
    priority: int
    # Endpoints that one request may be sent to.
    max_attempts: int
    # A stream may go on at another endpoint after the last event.
    resumable: bool
    # Longest pause between the events of a stream.
    max_gap_s: float
    services: tuple[WeightedService, ...]
    batch: BatchRouteOptions | None = None

    @property
    def idempotent(self) -> bool:
        """Tell whether a request may run more than once."""
        return self.kind == 'idempotent' or self.resumable


@dataclass(frozen=True, slots=True)
class Service:
    """A set of equal endpoints."""

    name: str
    health_path: str
    max_connections: int
    # Whether the endpoints are model engines that batch requests.
    is_engine: bool


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One registered endpoint."""

    endpoint_id: str
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    state: EndpointState
    # Unix time of its start; 0 when it does not say.
    started_ms: int = 0


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time bounds that the installation sets."""

    # A request reaches no leaving endpoint later than this.
    drain_s: float
    # From SIGTERM to SIGKILL.
    grace_s: float
    # From the end of a job to the last start of one of its items.
    cancel_s: float
    # How long a job and its results can be read.
    job_retention_s: float


@dataclass(frozen=True, slots=True)
class Installation:
    """What a process is told about itself at its start."""

    instance: str
    role: str
    host: str
    failure_domain: str
    first_peer_port: int
    last_peer_port: int
    store_address: str
    heartbeat_s: float
    bounds: Bounds
    callers_address: str = ''
    readiness_address: str = ''
