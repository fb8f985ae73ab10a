"""Schema, validation and packed form of the configuration document."""

from __future__ import annotations

import json
import zlib
from typing import Annotated, Final, Literal

from pydantic import BaseModel, ConfigDict, Field, model_validator
from pydantic import ValidationError as ModelError
from result import Err, Ok, Result

from quetzaldyke.parts import api_keys
from quetzaldyke.parts.errors import Errors

NAME_PATTERN: Final = '^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$'
COMPRESSION_LEVEL: Final = 6

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
KeyHash = Annotated[str, Field(pattern='^[0-9a-f]{64}$')]
Share = Annotated[float, Field(ge=0, le=1)]


class StrictModel(BaseModel):
    """Immutable model that rejects unknown fields."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class Pool(StrictModel):
    """Pool of endpoints that serve one model or one plain service."""

    kind: Literal['engine', 'service'] = 'engine'
    model: str = ''
    version: str = ''
    adapter: str = ''
    # Replicas that placement maintains; 0 excludes the pool from placement.
    replicas: int = Field(default=0, ge=0)
    # Whether the engines themselves reject orders with a stale fencing token.
    engines_check_fencing: bool = False
    # Load ratio of the local endpoints above which requests spill over to
    # other failure domains.
    spill_ratio: float = Field(default=0.8, gt=0, le=1)


class Organisation(StrictModel):
    """A customer and its fleet-wide limits."""

    key_sha256: KeyHash
    requests_per_s: float = Field(default=100.0, gt=0)
    concurrency: int = Field(default=256, ge=1)
    weight: float = Field(default=1.0, gt=0)
    queued_items: int = Field(default=1_000_000, ge=1)


class LendingRule(StrictModel):
    """Lets work of `borrower` use up to a share of the lender's slots."""

    borrower: Name
    lender: Name
    work: Literal['batch', 'online'] = 'batch'
    when: Literal['idle', 'at_risk'] = 'idle'
    max_share: Share = 1.0


class WeightStore(StrictModel):
    """Limits on loads from the weight store."""

    concurrent_loads: int = Field(default=2, ge=1)


class Configuration(StrictModel):
    """Fleet-wide configuration that operators maintain."""

    pools: dict[Name, Pool] = Field(default_factory=dict)
    organisations: dict[Name, Organisation] = Field(default_factory=dict)
    lending: tuple[LendingRule, ...] = ()
    weight_store: WeightStore = WeightStore()
    max_item_tries: int = Field(default=5, ge=1, le=100)

    @model_validator(mode='after')
    def check_lending(self) -> Configuration:
        """Reject lending rules that name an unknown pool."""
        for rule in self.lending:
            for name in (rule.borrower, rule.lender):
                if name not in self.pools:
                    raise ValueError(f'lending names unknown pool {name!r}')
        return self

    def key_directory(self) -> api_keys.KeyDirectory[str]:
        """Return the names of the organisations by their keys."""
        return api_keys.KeyDirectory(
            {name: name for name in self.organisations},
            {
                bytes.fromhex(organisation.key_sha256): name
                for name, organisation in self.organisations.items()
            },
        )


EMPTY: Final = Configuration()


def hash_key(key: str) -> str:
    """Return the hash under which a bearer key is stored."""
    return api_keys.hash_key(key.encode()).hex()


def pack_document(configuration: Configuration) -> bytes:
    """Return the compressed form that is stored and sent to peers."""
    text = configuration.model_dump_json(exclude_defaults=True)
    return zlib.compress(text.encode(), COMPRESSION_LEVEL)


def unpack_document(raw: bytes) -> Configuration:
    """Return the configuration of a packed document, or EMPTY for `b''`.

    Raises zlib.error or ValidationError if it can't be read.
    """
    if not raw:
        return EMPTY
    return Configuration.model_validate_json(zlib.decompress(raw))


def check_document(document: object) -> Result[Configuration, Errors]:
    """Validate an operator's document; return all errors if it fails."""
    try:
        return Ok(Configuration.model_validate_json(json.dumps(document)))
    except ModelError as exc:
        errors = Errors()
        for error in exc.errors(include_input=False, include_url=False):
            pointer = '/'.join(str(part) for part in error['loc'])
            errors.add(f'/{pointer}', error['msg'])
        return Err(errors)
