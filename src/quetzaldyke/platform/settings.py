"""Reads the settings file that the platform lays for each process."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from quetzaldyke.gateway.model import Bounds, Installation
from quetzaldyke.parts.errors import Errors
from quetzaldyke.platform.names import SETTINGS_VARIABLE

MS_IN_S = 1000


class BoundsTable(BaseModel):
    """Table `bounds`."""

    model_config = ConfigDict(extra='ignore')

    drain_ms: float = Field(alias='drain-ms', gt=0)
    grace_s: float = Field(alias='grace-s', gt=0)
    cancel_ms: float = Field(default=3000, alias='cancel-ms', gt=0)
    status_ttl_s: float = Field(default=120, alias='status-ttl-s', gt=0)


class ProviderTable(BaseModel):
    """Table `provider`: the platform's store."""

    model_config = ConfigDict(extra='ignore')

    address: str


class ListenTable(BaseModel):
    """Table `listen`; a role has only the addresses that it serves."""

    model_config = ConfigDict(extra='ignore')

    front: str = ''
    ready: str = ''


class SettingsFile(BaseModel):
    """The file as the platform writes it; unknown fields are ignored."""

    model_config = ConfigDict(extra='ignore')

    node: str
    role: str
    ip: str
    zone: str
    port_range: tuple[int, int] = Field(alias='port-range')
    heartbeat_ms: float = Field(default=1000, alias='heartbeat-ms', gt=0)
    listen: ListenTable = ListenTable()
    bounds: BoundsTable
    provider: ProviderTable


def settings_path() -> str:
    """Return where this process finds its settings."""
    return os.environ.get(SETTINGS_VARIABLE, '')


def load_installation(path: str) -> Result[Installation, Errors]:
    """Read a settings file, or return every finding with its field."""
    errors = Errors()
    try:
        document = tomllib.loads(Path(path).read_text(encoding='utf-8'))
    except (OSError, ValueError) as exc:
        errors.add(path or SETTINGS_VARIABLE, f'cannot be read: {exc}')
        return Err(errors)
    try:
        return Ok(decode(SettingsFile.model_validate(document)))
    except ValidationError as exc:
        for one in exc.errors(include_url=False):
            place = '.'.join(str(part) for part in one['loc'])
            given = '' if one['type'] == 'missing' else f': {one["input"]!r}'
            errors.add(place, f'{one["msg"]}{given}')
        return Err(errors)


def decode(settings: SettingsFile) -> Installation:
    """Translate the platform's names."""
    bounds = settings.bounds
    return Installation(
        instance=settings.node,
        role=settings.role,
        host=settings.ip,
        failure_domain=settings.zone,
        first_peer_port=settings.port_range[0],
        last_peer_port=settings.port_range[1],
        store_address=settings.provider.address,
        heartbeat_s=settings.heartbeat_ms / MS_IN_S,
        callers_address=settings.listen.front,
        readiness_address=settings.listen.ready,
        bounds=Bounds(
            drain_s=bounds.drain_ms / MS_IN_S,
            grace_s=bounds.grace_s,
            cancel_s=bounds.cancel_ms / MS_IN_S,
            job_retention_s=bounds.status_ttl_s,
        ),
    )
