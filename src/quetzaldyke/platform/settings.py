"""Reads and validates the settings file that the platform provides."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from quetzaldyke.gateway.model import Bounds, Installation
from quetzaldyke.parts.errors import Errors
from quetzaldyke.parts.transactions import (
    DEFAULT_VALUE_BYTES,
    TransactionLimits,
)
from quetzaldyke.platform.names import SETTINGS_VARIABLE

MS_IN_S = 1000


class BoundsTable(BaseModel):
    """Table `bounds`: time limits of the installation."""

    model_config = ConfigDict(extra='ignore')

    drain_ms: float = Field(alias='drain-ms', gt=0)
    grace_s: float = Field(alias='grace-s', gt=0)
    cancel_ms: float = Field(default=3000, alias='cancel-ms', gt=0)
    status_ttl_s: float = Field(default=120, alias='status-ttl-s', gt=0)
    quota_window_s: float = Field(default=5, alias='quota-window-s', gt=0)
    quota_overshoot: float = Field(default=0.1, alias='quota-overshoot', ge=0)
    quota_slack: float = Field(default=20, alias='quota-slack', ge=0)
    strict_revoke: bool = Field(default=False, alias='strict-revoke')
    revoke_ms: float = Field(default=5000, alias='revoke-ms', gt=0)
    settle_ms: float = Field(default=1000, alias='settle-ms', gt=0)
    config_apply_ms: float = Field(default=2000, alias='config-apply-ms', gt=0)


class ProviderTable(BaseModel):
    """Table `provider`: the platform's store and its largest value."""

    model_config = ConfigDict(extra='ignore')

    address: str
    value_bytes: int = Field(
        default=DEFAULT_VALUE_BYTES, alias='value-bytes', gt=0
    )


class ListenTable(BaseModel):
    """Table `listen`; addresses that a role does not serve are empty."""

    model_config = ConfigDict(extra='ignore')

    front: str = ''
    ready: str = ''


class SettingsFile(BaseModel):
    """The settings file in the platform's terms; ignores unknown fields."""

    model_config = ConfigDict(extra='ignore')

    node: str
    role: str
    ip: str
    zone: str
    port_range: tuple[int, int] = Field(alias='port-range')
    heartbeat_ms: float = Field(default=1000, alias='heartbeat-ms', gt=0)
    listen: ListenTable = ListenTable()
    zones: dict[str, str] = {}
    bounds: BoundsTable
    provider: ProviderTable


def settings_path() -> str:
    """Return the path of the settings file; empty if it is not set."""
    return os.environ.get(SETTINGS_VARIABLE, '')


def load_installation(path: str) -> Result[Installation, Errors]:
    """Read a settings file, or return all errors with their fields."""
    errors = Errors()
    try:
        document = tomllib.loads(Path(path).read_text(encoding='utf-8'))
    except (OSError, ValueError) as exc:
        errors.add(path or SETTINGS_VARIABLE, f'cannot be read: {exc}')
        return Err(errors)
    try:
        return Ok(to_installation(SettingsFile.model_validate(document)))
    except ValidationError as exc:
        for error in exc.errors(include_url=False):
            field_path = '.'.join(str(part) for part in error['loc'])
            received = (
                '' if error['type'] == 'missing' else f': {error["input"]!r}'
            )
            errors.add(field_path, f'{error["msg"]}{received}')
        return Err(errors)


def to_installation(settings: SettingsFile) -> Installation:
    """Convert settings from the platform's names and units."""
    bounds = settings.bounds
    return Installation(
        instance=settings.node,
        role=settings.role,
        host=settings.ip,
        failure_domain=settings.zone,
        first_peer_port=settings.port_range[0],
        last_peer_port=settings.port_range[1],
        store_address=settings.provider.address,
        store_limits=TransactionLimits(settings.provider.value_bytes),
        heartbeat_s=settings.heartbeat_ms / MS_IN_S,
        callers_address=settings.listen.front,
        readiness_address=settings.listen.ready,
        regions=settings.zones,
        bounds=Bounds(
            drain_s=bounds.drain_ms / MS_IN_S,
            grace_s=bounds.grace_s,
            cancel_s=bounds.cancel_ms / MS_IN_S,
            job_retention_s=bounds.status_ttl_s,
            rate_window_s=bounds.quota_window_s,
            rate_overshoot=bounds.quota_overshoot,
            rate_slack=bounds.quota_slack,
            strict_revocation=bounds.strict_revoke,
            revocation_s=bounds.revoke_ms / MS_IN_S,
            settle_s=bounds.settle_ms / MS_IN_S,
            config_apply_s=bounds.config_apply_ms / MS_IN_S,
        ),
    )
