"""Decodes the records that the operator and the endpoints write.

Several writers share these keys, so a record that cannot be read is
reported and skipped; it never hides the others.
"""

from __future__ import annotations

from typing import Literal

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from quetzaldyke.gateway.model import (
    BatchRouteOptions,
    CallerLimits,
    Configuration,
    Endpoint,
    Route,
    Service,
    WeightedService,
)
from quetzaldyke.platform.names import ENDPOINT_PREFIX

MS_IN_S = 1000


class Record(BaseModel):
    """Base of all records; fields of later versions are ignored."""

    model_config = ConfigDict(extra='ignore')


class BackendRow(Record):
    """One share of a split route."""

    service: str
    weight: float


class RouteRow(Record):
    """One route of the configuration."""

    name: str
    host: str
    prefix: str
    kind: Literal['idempotent', 'non_idempotent', 'stream', 'batch']
    timeout_ms: float = Field(alias='timeout-ms')
    goal_ms: float = Field(default=0, alias='goal-ms')
    priority: int = 0
    max_attempts: int = Field(default=1, alias='max-attempts')
    resumable: bool = False
    gap_target_ms: float = Field(default=0, alias='gap-target-ms')
    service: str = ''
    backends: list[BackendRow] = []
    completion_target_ms: float = Field(
        default=0,
        alias='completion-target-ms',
    )
    max_wait_s: float = Field(default=0, alias='max-wait-s')
    # Tokens that may wait on the route.
    cap: int = 0


class ServiceRow(Record):
    """One service of the configuration."""

    name: str
    health_path: str = Field(default='/health', alias='health-path')
    max_conns: int = Field(default=100, alias='max-conns')
    engine: dict[str, object] | None = None


class LimitsRow(Record):
    """Bounds on callers."""

    max_header_bytes: int = Field(default=16_384, alias='max-header-bytes')
    max_body_bytes: int = Field(default=4_194_304, alias='max-body-bytes')
    header_timeout_ms: float = Field(default=3000, alias='header-timeout-ms')
    idle_timeout_ms: float = Field(default=15_000, alias='idle-timeout-ms')


class ConfigRecord(Record):
    """The whole configuration."""

    version: int
    routes: list[RouteRow]
    services: list[ServiceRow]
    limits: LimitsRow = LimitsRow()


class EndpointRecord(Record):
    """What an endpoint writes about itself."""

    model_config = ConfigDict(extra='ignore', strict=True)

    service: str
    address: str
    zone: str
    slots: int
    state: Literal['ready', 'draining']
    born: int = 0


def decode_configuration(raw: bytes) -> Result[Configuration, str]:
    """Decode the operator's configuration."""
    try:
        record = ConfigRecord.model_validate(orjson.loads(raw))
    except (ValidationError, ValueError) as exc:
        return Err(str(exc))
    limits = record.limits
    return Ok(
        Configuration(
            version=record.version,
            routes=tuple(decode_route(row) for row in record.routes),
            services={row.name: decode_service(row) for row in record.services},
            limits=CallerLimits(
                max_header_bytes=limits.max_header_bytes,
                max_body_bytes=limits.max_body_bytes,
                header_timeout_s=limits.header_timeout_ms / MS_IN_S,
                idle_timeout_s=limits.idle_timeout_ms / MS_IN_S,
            ),
        ),
    )


def decode_route(row: RouteRow) -> Route:
    """Translate one route."""
    shares = [WeightedService(one.service, one.weight) for one in row.backends]
    return Route(
        name=row.name,
        host=row.host.lower(),
        prefix=row.prefix,
        kind=row.kind,
        timeout_s=row.timeout_ms / MS_IN_S,
        target_s=row.goal_ms / MS_IN_S,
        priority=row.priority,
        max_attempts=max(1, row.max_attempts),
        resumable=row.resumable,
        max_gap_s=row.gap_target_ms / MS_IN_S,
        services=tuple(shares) or (WeightedService(row.service, 1),),
        batch=decode_batch(row),
    )


def decode_batch(row: RouteRow) -> BatchRouteOptions | None:
    """Translate the fields of a batch route."""
    if row.kind != 'batch':
        return None
    return BatchRouteOptions(
        completion_target_s=row.completion_target_ms / MS_IN_S,
        max_wait_s=row.max_wait_s,
        max_waiting_tokens=row.cap,
    )


def decode_service(row: ServiceRow) -> Service:
    """Translate one service."""
    return Service(
        name=row.name,
        health_path=row.health_path,
        max_connections=row.max_conns,
        is_engine=row.engine is not None,
    )


def decode_endpoint(key: str, raw: bytes) -> Result[Endpoint, str]:
    """Decode the entry of one endpoint."""
    try:
        record = EndpointRecord.model_validate(orjson.loads(raw))
        host, _, port = record.address.rpartition(':')
        return Ok(
            Endpoint(
                endpoint_id=key.removeprefix(ENDPOINT_PREFIX),
                service=record.service,
                host=host,
                port=int(port),
                failure_domain=record.zone,
                slots=max(1, record.slots),
                state=record.state,
                started_ms=record.born,
            ),
        )
    except (ValidationError, ValueError) as exc:
        return Err(str(exc))
