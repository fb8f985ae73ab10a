"""Loads the settings of each role from flags and environment variables.

A flag takes precedence over its variable. All settings of a role are
validated together, and every error names its flag and variable.
"""

from __future__ import annotations

import ipaddress
import os
from collections.abc import Mapping
from typing import Annotated, Final, Literal, TypeVar

from pydantic import AfterValidator, BaseModel, ConfigDict, Field
from pydantic import ValidationError as ModelError
from result import Err, Ok, Result

from quetzaldyke.parts.errors import Errors

ENV_PREFIX: Final = 'QUETZALDYKE_'
MIN_SECRET_CHARS: Final = 16
MAX_PORT: Final = 65535


def check_address(text: str) -> str:
    """Return an `IP:PORT` address; raise ValueError, also for host names."""
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError as exc:
        raise ValueError('must be IP:PORT with an IP address') from exc
    if not port.isdecimal() or not 0 <= int(port) <= MAX_PORT:
        raise ValueError(f'port must be 0 to {MAX_PORT}')
    return text


Address = Annotated[str, AfterValidator(check_address)]
Name = Annotated[str, Field(pattern='^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$')]
Secret = Annotated[str, Field(min_length=MIN_SECRET_CHARS, repr=False)]


class ProcessSettings(BaseModel):
    """Settings common to both daemons."""

    model_config = ConfigDict(extra='forbid', frozen=True)

    instance: Name = Field(description='name of this instance')
    failure_domain: Name = Field(description='failure domain of it')
    peer_address: Address = Field(description='listener for other processes')
    fleet_secret: Secret = Field(description='secret shared by the fleet')


class EntrySettings(ProcessSettings):
    """Settings of an entry."""

    callers_address: Address = Field(description="callers' HTTP listener")
    operators_address: Address = Field(description="operators' HTTP listener")
    operator_key: Secret = Field(description='bearer key of operators')
    kv_address: Address = Field(description='key-value service')
    instances_address: Address = Field(description='instance list service')
    data_folder: str = Field(default='', description='folder for a cache')
    subset_size: int = Field(
        default=20,
        ge=1,
        description='endpoints of each pool that this entry connects to',
    )
    linger_s: float = Field(
        default=3.0,
        ge=0,
        description='seconds an entry serves on after it turned unready',
    )
    drain_s: float = Field(
        default=60.0,
        gt=0,
        description='longest wait for running requests at a stop, in seconds',
    )
    request_timeout_s: float = Field(
        default=120.0,
        gt=0,
        description='deadline of a request without one, in seconds',
    )
    max_body_bytes: int = Field(
        default=1_048_576,
        ge=1024,
        le=1_500_000,
        description='largest request body',
    )
    max_file_bytes: int = Field(
        default=134_217_728,
        ge=1024,
        description='largest uploaded file',
    )
    retention_s: float = Field(
        default=86_400.0,
        gt=0,
        description='seconds that results and claims are kept',
    )
    held_results_bytes: int = Field(
        default=67_108_864,
        ge=1,
        description='memory for results while the key-value service is down',
    )


class SidecarSettings(ProcessSettings):
    """Settings of a sidecar."""

    endpoint_address: Address = Field(description='endpoint on this instance')
    endpoint_kind: Literal['engine', 'service'] = Field(
        default='engine',
        description='model engine or plain service',
    )
    pool: Name = Field(description='pool that the endpoint belongs to')
    max_streams: int = Field(
        default=16,
        ge=1,
        description='streams that the endpoint runs at once',
    )
    max_queue: int = Field(
        default=64,
        ge=0,
        description='online requests that may wait',
    )
    ttft_target_ms: float = Field(
        default=690.0,
        gt=0,
        description='target for the time to first token, in ms',
    )
    tbt_target_ms: float = Field(
        default=54.0,
        gt=0,
        description='target for the time between tokens, in ms',
    )
    drain_s: float = Field(
        default=60.0,
        gt=0,
        description='longest wait for running streams at a stop, in seconds',
    )


SettingsT = TypeVar('SettingsT', bound=ProcessSettings)


def flag_of(name: str) -> str:
    """Return the command-line flag of a setting.

    >>> flag_of('peer_address')
    '--peer-address'
    """
    return f'--{name.replace("_", "-")}'


def variable_of(name: str) -> str:
    """Return the environment variable of a setting.

    >>> variable_of('peer_address')
    'QUETZALDYKE_PEER_ADDRESS'
    """
    return f'{ENV_PREFIX}{name.upper()}'


def load_settings(
    model: type[SettingsT],
    flags: Mapping[str, object],
    environ: Mapping[str, str] | None = None,
) -> Result[SettingsT, Errors]:
    """Return a role's settings, or all errors if any value is invalid."""
    environment = os.environ if environ is None else environ
    values: dict[str, object] = {}
    for name in model.model_fields:
        if variable_of(name) in environment:
            values[name] = environment[variable_of(name)]
    values.update(flags)
    try:
        return Ok(model.model_validate(values))
    except ModelError as exc:
        return Err(to_errors(exc))


def to_errors(exc: ModelError) -> Errors:
    """Convert validation errors; leaves out values, which may be secret."""
    errors = Errors()
    for error in exc.errors(include_input=False, include_url=False):
        name = str(error['loc'][0]) if error['loc'] else ''
        place = f'{flag_of(name)} / {variable_of(name)}'
        errors.add(place, error['msg'])
    return errors
