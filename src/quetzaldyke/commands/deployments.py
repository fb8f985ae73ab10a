"""Loads the demo's deployments from JSON files next to this module."""

from __future__ import annotations

from importlib import resources
from typing import Final, Literal

from pydantic import BaseModel, ConfigDict

from quetzaldyke.commands.task_fleet import FleetPlan, PoolPlan

DEPLOYMENTS: Final = ('barf-hub', 'kymata')


class PoolSettings(BaseModel):
    """A pool in a deployment file."""

    model_config = ConfigDict(extra='forbid')

    name: str
    replicas: int
    kind: Literal['engine', 'service'] = 'engine'


class DeploymentSettings(BaseModel):
    """Contents of a deployment file."""

    model_config = ConfigDict(extra='forbid')

    name: str
    failure_domains: tuple[str, ...]
    entries: int
    pools: tuple[PoolSettings, ...]
    organisations: dict[str, str]


def load_deployment(name: str) -> FleetPlan:
    """Load a deployment; raise ValidationError if its file is not valid."""
    folder = resources.files('quetzaldyke.commands')
    text = folder.joinpath(f'{name}.json').read_text()
    settings = DeploymentSettings.model_validate_json(text)
    pools = tuple(
        PoolPlan(pool.name, pool.replicas, pool.kind) for pool in settings.pools
    )
    return FleetPlan(
        settings.name,
        settings.failure_domains,
        settings.entries,
        pools,
        settings.organisations,
    )
