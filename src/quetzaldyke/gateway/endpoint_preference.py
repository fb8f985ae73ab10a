"""Gives each entry an order of its own among the endpoints of a domain.

Load pattern: many entries with few requests each serve from all endpoints, so
that a pair of them speaks too seldom to keep a connection, and entries that
see the same counts choose the same least loaded endpoint at the same moment.

Each entry prefers the endpoints that follow its own place in a circle of the
domain's endpoints. The places of a domain's entries are spread evenly, so that
each endpoint is preferred by as many entries as any other. With little load an
entry keeps to its first endpoints; as these fill, it goes on to the next ones.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.gateway.model import Endpoint, Installation
from quetzaldyke.parts.rendezvous import DIGEST_BYTES, ranking, score

SCORE_RANGE: Final = 2 ** (8 * DIGEST_BYTES)


def preferences(
    own_id: str, entries: Iterable[str], endpoint_ids: Sequence[str], key: str
) -> dict[str, float]:
    """Return the rank of each endpoint for an entry, from 0 to below 1.

    `entries` are those of the endpoints' failure domain. For any other entry,
    the ranks follow from a hash.

    >>> ranks = preferences('a', ['a', 'b'], ['e1', 'e2', 'e3', 'e4'], 'lm')
    >>> sorted(ranks.values())
    [0.0, 0.25, 0.5, 0.75]
    """
    ordered = sorted(entries)
    circle = ranking(endpoint_ids, key)
    if own_id in ordered:
        start = ordered.index(own_id) * len(circle) // len(ordered)
    else:
        start = score(own_id, key) % max(1, len(circle))
    return {
        endpoint_id: (position - start) % len(circle) / len(circle)
        for position, endpoint_id in enumerate(circle)
    }


@dataclass(slots=True)
class EndpointPreference:
    """The ranks of all endpoints for one entry, named by its instance.

    An instance that restarts keeps its place, and so do all others.
    """

    own_id: str
    own_domain: str
    ranks: dict[str, float] = field(default_factory=dict)

    @classmethod
    def from_installation(
        cls, installation: Installation
    ) -> EndpointPreference | None:
        """Return the ranks of an entry; None if its settings ask for none."""
        if not installation.options.keep_connections:
            return None
        return cls(installation.instance, installation.failure_domain)

    def update(
        self,
        by_service: Iterable[tuple[str, Sequence[Endpoint]]],
        near_entries: Sequence[str],
    ) -> None:
        """Compute the ranks of the registered endpoints of each service.

        `near_entries` are the entries of the own failure domain.
        """
        ranks: dict[str, float] = {}
        for service, endpoints in by_service:
            domains: dict[str, list[str]] = {}
            for endpoint in endpoints:
                members = domains.setdefault(endpoint.failure_domain, [])
                members.append(endpoint.endpoint_id)
            for domain, ids in domains.items():
                entries = near_entries if domain == self.own_domain else ()
                key = f'{service}/{domain}'
                ranks.update(preferences(self.own_id, entries, ids, key))
        self.ranks = ranks

    def rank(self, endpoint_id: str) -> float:
        """Return the rank of an endpoint; a new one gets that of its hash."""
        known = self.ranks.get(endpoint_id)
        if known is not None:
            return known
        hashed: float = score(self.own_id, endpoint_id) / SCORE_RANGE
        return hashed
