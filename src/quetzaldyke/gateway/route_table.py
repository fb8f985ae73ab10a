"""Finds the route of a request by its host and the longest path prefix."""

from __future__ import annotations

import random
from dataclasses import dataclass

from quetzaldyke.gateway.model import Configuration, Route


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Routes of one configuration version by host."""

    version: int
    # Longest prefix first.
    by_host: dict[str, tuple[Route, ...]]
    by_name: dict[str, Route]
    # Names of the services that the version configures.
    services: frozenset[str] = frozenset()

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
        return cls(configuration.version, ordered, named, services)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def prefix_length(route: Route) -> int:
    """Return the length of a route's path prefix."""
    return len(route.prefix)


def choose_service(route: Route, generator: random.Random) -> str:
    """Choose the service of a request at random by the route's weights.

    Without a positive weight, the first service is returned.
    """
    if len(route.services) == 1:
        return route.services[0].service
    weights = [max(0.0, share.weight) for share in route.services]
    if not any(weights):
        return route.services[0].service
    drawn = generator.choices(route.services, weights)
    return drawn[0].service
