"""Finds the route of a request by its host and the longest path prefix."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from quetzaldyke.gateway.model import Configuration, Organisation, Route
from quetzaldyke.parts.api_keys import KeyDirectory


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Routes of one configuration version by host."""

    version: int
    # Longest prefix first.
    by_host: dict[str, tuple[Route, ...]]
    by_name: dict[str, Route]
    # Names of the services that the version configures.
    services: frozenset[str] = frozenset()
    # None if requests need no API key.
    directory: KeyDirectory[Organisation] | None = None

    @classmethod
    def from_configuration(cls, configuration: Configuration) -> RouteTable:
        """Build the table, sorting the routes of each host by prefix."""
        grouped: dict[str, list[Route]] = {}
        for route in configuration.routes:
            grouped.setdefault(route.host, []).append(route)
        ordered = {
            host: tuple(sorted(routes, key=prefix_length, reverse=True))
            for host, routes in grouped.items()
        }
        named = {route.name: route for route in configuration.routes}
        services = frozenset(configuration.services)
        return cls(
            configuration.version,
            ordered,
            named,
            services,
            configuration.directory,
        )

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def has_public_jobs(self, host: str) -> bool:
        """Return whether jobs may be submitted to a host without a key."""
        return any(
            route.public and route.kind == 'batch'
            for route in self.by_host.get(host, ())
        )


def prefix_length(route: Route) -> int:
    """Return the length of a route's path prefix."""
    return len(route.prefix)


def is_any(service: str) -> bool:
    """Return true for each service."""
    return True


def choose_service(
    route: Route,
    generator: random.Random,
    is_open: Callable[[str], bool] = is_any,
) -> str:
    """Choose the service of a request at random by the route's weights.

    Services that are not open, as they have no endpoint that takes work, are
    left out while another one is. Without a positive weight, the first service
    is returned.
    """
    if len(route.services) == 1:
        return route.services[0].service
    weighted = [share for share in route.services if share.weight > 0]
    if not weighted:
        return route.services[0].service
    shares = [share for share in weighted if is_open(share.service)] or weighted
    drawn = generator.choices(shares, [share.weight for share in shares])
    return drawn[0].service
