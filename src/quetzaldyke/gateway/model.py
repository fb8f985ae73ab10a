"""Immutable data types for the configuration, endpoints and installation.

The platform adapter decodes the platform's records into these types. They
have no behaviour beyond simple look-ups and are valid for one configuration
version or one registration of an endpoint.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Literal

from quetzaldyke.parts.api_keys import KeyDirectory
from quetzaldyke.parts.transactions import (
    DEFAULT_LIMITS,
    TransactionLimits,
)

RouteKind = Literal['idempotent', 'non_idempotent', 'stream', 'batch']
EndpointState = Literal['ready', 'draining']


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service of a route, and its weight in the traffic split."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class BatchRouteOptions:
    """Time limits and token quota of the jobs on a batch route."""

    # From the first submission to the last result.
    completion_target_s: float
    # From the first submission until an unfinished item may be abandoned.
    max_wait_s: float
    # Limit on the tokens of unfinished items of all jobs; 0 means no limit.
    max_waiting_tokens: int


@dataclass(frozen=True, slots=True)
class Route:
    """Services and policy for the requests of one host and path prefix."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    # Latency objective: until the first event of a stream, or until the end of
    # any other answer.
    target_s: float
    # 0 is the most urgent.
    priority: int
    # Limit on the endpoints that one request may be sent to.
    max_attempts: int
    # Whether a broken stream may be resumed at another endpoint after the
    # last delivered event.
    resumable: bool
    # Longest pause between the events of a stream.
    max_gap_s: float
    services: tuple[WeightedService, ...]
    batch: BatchRouteOptions | None = None
    # Whether requests need no API key although others do.
    public: bool = False

    @property
    def idempotent(self) -> bool:
        """Return whether a request may be executed more than once."""
        resumable = self.kind == 'stream' and self.resumable
        return self.kind == 'idempotent' or resumable


@dataclass(frozen=True, slots=True)
class Service:
    """A set of interchangeable endpoints."""

    name: str
    health_path: str
    max_connections: int
    # Whether the endpoints are model engines, which batch requests.
    is_engine: bool


@dataclass(frozen=True, slots=True)
class Organisation:
    """A customer that callers belong to, and its limits over all entries."""

    name: str
    # Goes before the priority of the route, 0 being the most urgent; None
    # leaves it to the route.
    priority: int | None = None
    # Requests per second, and how many more may come at once; a rate of 0
    # means no limit.
    rate: float = 0.0
    burst: float = 0.0
    # Its share of scarce slots, compared with other organisations.
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size and time limits on callers' requests."""

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
    # None if the operator configures no organisations: requests then need no
    # API key.
    directory: KeyDirectory[Organisation] | None = None


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
    # Unix time of its start; 0 if it did not report one.
    started_ms: int = 0

    @property
    def lifetime(self) -> str:
        """Return what identifies the time from its start to its end.

        An endpoint may start again under the id that it had.
        """
        return f'{self.endpoint_id}@{self.started_ms}'


@dataclass(frozen=True, slots=True)
class StatedLoad:
    """What an endpoint states of its load in an answer."""

    running: int
    waiting: int
    slots: int
    # How long work takes there at this moment, 1 being as usual; None if it
    # is not stated.
    slowness: float | None = None


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits set by the installation."""

    # A draining endpoint gets no request later than this.
    drain_s: float
    # From SIGTERM to SIGKILL.
    grace_s: float
    # From the end of a job to the last start of one of its items.
    cancel_s: float
    # How long a job and its results can be read after its acceptance.
    job_retention_s: float
    # In each span of this length, an organisation's requests at endpoints may
    # exceed its limit by this share and by this number.
    rate_window_s: float = 5.0
    rate_overshoot: float = 0.1
    rate_slack: float = 20.0
    # Whether keys are refused while nothing confirms that they still hold, and
    # how long after the last confirmation.
    strict_revocation: bool = False
    revocation_s: float = 5.0
    # A job, or a result of it, that one entry has shown is shown by every
    # other one after this.
    settle_s: float = 1.0
    # From the acknowledgement of a configuration until it is in force.
    config_apply_s: float = 2.0


@dataclass(frozen=True, slots=True)
class EntryOptions:
    """What the operators ask of an entry, beside the platform's settings."""

    # Whether requests stay in their failure domain while it has room.
    keep_local: bool = False
    # How much longer a request may take rather than leave its domain, which
    # states the price of traffic; 0 means that it has none.
    price_s: float = 0.0
    # Whether batch work leaves free what online demand takes in its peaks.
    reserve_peaks: bool = False
    # Whether each entry prefers its own few endpoints, so that connections are
    # used again.
    keep_connections: bool = False
    # Whether requests are placed by the expected time of their events.
    by_speed: bool = False


@dataclass(frozen=True, slots=True)
class Installation:
    """Settings of one process, read from the settings file at its start."""

    instance: str
    role: str
    host: str
    failure_domain: str
    first_peer_port: int
    last_peer_port: int
    store_address: str
    heartbeat_s: float
    bounds: Bounds
    store_limits: TransactionLimits = DEFAULT_LIMITS
    callers_address: str = ''
    readiness_address: str = ''
    # Region of each failure domain; traffic within a region is faster.
    regions: Mapping[str, str] = field(default_factory=dict)
    options: EntryOptions = EntryOptions()
