"""Reads what the operators ask of an entry, beside the platform's settings.

These settings are the project's own, so they come from environment variables;
the platform's settings file knows none of them.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, Final

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from quetzaldyke.gateway.model import EntryOptions
from quetzaldyke.parts.errors import Errors

# Set to 1 to keep requests in their failure domain while it has room.
KEEP_LOCAL_VARIABLE: Final = 'QUETZALDYKE_KEEP_LOCAL'
# How much longer a request may take rather than leave its domain, in ms.
PRICE_VARIABLE: Final = 'QUETZALDYKE_TRAFFIC_PRICE_MS'
# Set to 1 to leave free what online demand takes in its peaks.
RESERVE_VARIABLE: Final = 'QUETZALDYKE_RESERVE_PEAKS'
# Set to 1 to give each entry endpoints that it prefers.
CONNECTIONS_VARIABLE: Final = 'QUETZALDYKE_KEEP_CONNECTIONS'
# Set to 1 to place requests by what endpoints show of their speed.
SPEED_VARIABLE: Final = 'QUETZALDYKE_PLACE_BY_SPEED'
MS_IN_S: Final = 1000
MAX_PRICE_MS: Final = 60_000.0


class EntryVariables(BaseModel):
    """The environment variables, with their defaults."""

    model_config = ConfigDict(extra='ignore')

    keep_local: bool = Field(default=False, alias=KEEP_LOCAL_VARIABLE)
    price_ms: Annotated[
        float, Field(ge=0, le=MAX_PRICE_MS, allow_inf_nan=False)
    ] = Field(default=0, alias=PRICE_VARIABLE)
    reserve_peaks: bool = Field(default=False, alias=RESERVE_VARIABLE)
    keep_connections: bool = Field(default=False, alias=CONNECTIONS_VARIABLE)
    by_speed: bool = Field(default=False, alias=SPEED_VARIABLE)


def read_entry_options(
    environment: Mapping[str, str],
) -> Result[EntryOptions, Errors]:
    """Return the settings, or all errors with the names of the variables.

    >>> read_entry_options({PRICE_VARIABLE: '20'}).unwrap().price_s
    0.02
    """
    try:
        read = EntryVariables.model_validate(dict(environment))
    except ValidationError as exc:
        errors = Errors()
        for error in exc.errors(include_url=False):
            errors.add(str(error['loc'][0]), f'{error["msg"]}')
        return Err(errors)
    return Ok(
        EntryOptions(
            read.keep_local,
            read.price_ms / MS_IN_S,
            read.reserve_peaks,
            read.keep_connections,
            read.by_speed,
        )
    )
