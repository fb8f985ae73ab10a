"""Decodes the records that the operator and the endpoints write.

Each record is decoded by itself: several writers share a key prefix, so an
unreadable record is returned as an error and must not hide the others.
"""

from __future__ import annotations

from typing import Annotated, Final, Literal

import orjson
from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
)
from result import Err, Ok, Result

from quetzaldyke.gateway.model import (
    BatchRouteOptions,
    CallerLimits,
    Configuration,
    Endpoint,
    Organisation,
    Route,
    Service,
    WeightedService,
)
from quetzaldyke.parts.addresses import parse_address
from quetzaldyke.parts.api_keys import BEARER, MAX_KEY_BYTES, KeyDirectory
from quetzaldyke.platform.names import ENDPOINT_PREFIX
from quetzaldyke.platform.validation import describe_invalid

MS_IN_S = 1000
# Far above what one endpoint runs at once. An endpoint that claims more would
# look idle for ever and get all requests.
MAX_SLOTS: Final = 65_536
# The end of the year 9999 in Unix ms.
MAX_UNIX_MS: Final = 253_402_300_799_999
MAX_ADDRESS_CHARS: Final = 300
# Names and ids go into headers and log lines: visible ASCII characters only.
Name = Annotated[str, Field(pattern=r'^[!-~]{1,200}\z')]

# Timers, headers and 64-bit fields of messages take the numbers of a
# configuration. A time above `MAX_TIME`, 11 days in ms, means no limit.
MAX_TIME: Final = 1e9
MAX_NUMBER: Final = 0x7FFF_FFFF_FFFF_FFFF
# The sum of a route's weights has to be finite.
MAX_WEIGHT: Final = 1e12
# A time in the unit of its field, cut to `MAX_TIME`.
Time = Annotated[
    float,
    Field(allow_inf_nan=False),
    AfterValidator(lambda time: min(time, MAX_TIME)),
]
Number = Annotated[int, Field(ge=-MAX_NUMBER, le=MAX_NUMBER)]
# A rate above `MAX_RATE` requests per second means no more than that one.
MAX_RATE: Final = 1e9
Rate = Annotated[
    float,
    Field(ge=0, allow_inf_nan=False),
    AfterValidator(lambda rate: min(rate, MAX_RATE)),
]
ApiKey = Annotated[
    str, Field(pattern=r'^[!-~]+\z', max_length=MAX_KEY_BYTES - len(BEARER))
]


class PlatformRecord(BaseModel):
    """Base class of all records; ignores fields of later versions."""

    model_config = ConfigDict(extra='ignore')


class BackendRecord(PlatformRecord):
    """A service of a route and its weight in the traffic split."""

    service: str
    weight: Annotated[float, Field(le=MAX_WEIGHT, allow_inf_nan=False)]


class RouteRecord(PlatformRecord):
    """A route of the configuration."""

    name: str
    host: str
    prefix: str
    kind: Literal['idempotent', 'non_idempotent', 'stream', 'batch']
    timeout_ms: Time = Field(alias='timeout-ms')
    goal_ms: Time = Field(default=0, alias='goal-ms')
    priority: Number = 0
    max_attempts: Number = Field(default=1, alias='max-attempts')
    resumable: bool = False
    gap_target_ms: Time = Field(default=0, alias='gap-target-ms')
    service: str = ''
    backends: list[BackendRecord] = []
    completion_target_ms: Time = Field(
        default=0,
        alias='completion-target-ms',
    )
    max_wait_s: Time = Field(default=0, alias='max-wait-s')
    # Limit on the tokens of unfinished items; 0 means no limit.
    cap: Number = 0
    public: bool = False


class ServiceRecord(PlatformRecord):
    """A service of the configuration."""

    name: str
    health_path: str = Field(default='/health', alias='health-path')
    max_conns: Number = Field(default=100, alias='max-conns')
    engine: dict[str, object] | None = None


class LimitsRecord(PlatformRecord):
    """Size and time limits on callers' requests."""

    max_header_bytes: Number = Field(default=16_384, alias='max-header-bytes')
    max_body_bytes: Number = Field(default=4_194_304, alias='max-body-bytes')
    header_timeout_ms: Time = Field(default=3000, alias='header-timeout-ms')
    idle_timeout_ms: Time = Field(default=15_000, alias='idle-timeout-ms')


class OrganisationRecord(PlatformRecord):
    """An organisation, its API keys and its limits."""

    name: Name
    api_keys: list[ApiKey] = Field(default=[], alias='api-keys')
    priority: Number | None = None
    # Requests per second over all entries; 0 means no limit.
    rate_per_s: Rate = Field(default=0, alias='rate-per-s')
    burst: Rate = 0


class ConfigRecord(PlatformRecord):
    """The operator's configuration."""

    version: Number
    routes: list[RouteRecord]
    services: list[ServiceRecord]
    limits: LimitsRecord = LimitsRecord()
    # None if requests need no API key.
    tenants: list[OrganisationRecord] | None = None


class EndpointRecord(PlatformRecord):
    """The registration that an endpoint writes for itself."""

    model_config = ConfigDict(extra='ignore', strict=True)

    endpoint_id: Name
    service: Name
    address: Annotated[str, Field(max_length=MAX_ADDRESS_CHARS)]
    zone: Name
    slots: Annotated[int, Field(ge=1, le=MAX_SLOTS)]
    state: Literal['ready', 'draining']
    born: Annotated[int, Field(ge=0, le=MAX_UNIX_MS)] = 0


def decode_configuration(raw: bytes) -> Result[Configuration, str]:
    """Decode the operator's configuration; fail with a short reason."""
    try:
        record = ConfigRecord.model_validate(orjson.loads(raw))
    except (ValidationError, ValueError, RecursionError) as exc:
        return Err(describe_invalid(exc))
    return to_directory(record.tenants).map(
        lambda directory: to_configuration(record, directory)
    )


def to_configuration(
    record: ConfigRecord, directory: KeyDirectory[Organisation] | None
) -> Configuration:
    """Convert a configuration record, with times in seconds."""
    limits = record.limits
    return Configuration(
        version=record.version,
        routes=tuple(to_route(route) for route in record.routes),
        services={
            service.name: to_service(service) for service in record.services
        },
        limits=CallerLimits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout_ms / MS_IN_S,
            idle_timeout_s=limits.idle_timeout_ms / MS_IN_S,
        ),
        directory=directory,
    )


def to_directory(
    records: list[OrganisationRecord] | None,
) -> Result[KeyDirectory[Organisation] | None, str]:
    """Return the organisations by key.

    Fails if two hold the same key or bear the same name: whose request it is
    and which limits apply would depend on their order.
    """
    if records is None:
        return Ok(None)
    organisations = {
        record.name: Organisation(
            record.name, record.priority, record.rate_per_s, record.burst
        )
        for record in records
    }
    if len(organisations) < len(records):
        return Err('two organisations bear the same name')
    keys = (
        (record.name, key.encode())
        for record in records
        for key in record.api_keys
    )
    return KeyDirectory.from_keys(organisations, keys)


def to_route(record: RouteRecord) -> Route:
    """Convert a route record, with times in seconds."""
    shares = [
        WeightedService(backend.service, backend.weight)
        for backend in record.backends
    ]
    return Route(
        name=record.name,
        host=record.host.lower(),
        prefix=record.prefix,
        kind=record.kind,
        timeout_s=record.timeout_ms / MS_IN_S,
        target_s=record.goal_ms / MS_IN_S,
        priority=record.priority,
        max_attempts=max(1, record.max_attempts),
        resumable=record.resumable,
        max_gap_s=record.gap_target_ms / MS_IN_S,
        services=tuple(shares) or (WeightedService(record.service, 1),),
        batch=to_batch_options(record),
        public=record.public,
    )


def to_batch_options(record: RouteRecord) -> BatchRouteOptions | None:
    """Return the options of a batch route, or None for other kinds."""
    if record.kind != 'batch':
        return None
    return BatchRouteOptions(
        completion_target_s=record.completion_target_ms / MS_IN_S,
        max_wait_s=record.max_wait_s,
        max_waiting_tokens=record.cap,
    )


def to_service(record: ServiceRecord) -> Service:
    """Convert a service record."""
    return Service(
        name=record.name,
        health_path=record.health_path,
        max_connections=record.max_conns,
        is_engine=record.engine is not None,
    )


def decode_endpoint(key: str, raw: bytes) -> Result[Endpoint, str]:
    """Decode the registration of an endpoint; fail with a short reason.

    Another writer may have left the record, so each field that a request
    depends on is checked here.
    """
    try:
        document = orjson.loads(raw)
        if not isinstance(document, dict):
            return Err('no JSON object')
        endpoint_id = key.removeprefix(ENDPOINT_PREFIX)
        record = EndpointRecord.model_validate(
            {**document, 'endpoint_id': endpoint_id},
        )
    except (ValidationError, ValueError, RecursionError) as exc:
        return Err(describe_invalid(exc))
    return parse_address(record.address).map(
        lambda address: Endpoint(
            endpoint_id=record.endpoint_id,
            service=record.service,
            host=address[0],
            port=address[1],
            failure_domain=record.zone,
            slots=record.slots,
            state=record.state,
            started_ms=record.born,
        ),
    )
