"""Decides which entry fills the free slots of an endpoint with batch items.

Load pattern: a slot comes free, and within one load report all entries with
items to start know of it. If each took a share by chance, some slots would be
taken twice and some by nobody. A run that starts into a taken slot waits in
the engine's queue, in front of online requests, until it is preempted.

All entries know the same counts, so they choose the same entry without
communication: by rendezvous hashing, weighted with the items that each could
start, or with what their organisations may start. Where work stays in its
failure domain, the entries of the endpoint's domain go first for a short time
while they have items. The choice is made anew whenever the batch runs on the endpoint change,
and after a pause, in case the chosen entry can't use the slots.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.gateway.item_shares import ItemShares
from quetzaldyke.gateway.loads import LoadTable
from quetzaldyke.parts.rendezvous import DIGEST_BYTES, score

# An entry that was chosen has used the slots after this time, or will not.
ROUND_S: Final = 0.15
# The same for entries of other domains, whose reports come less often.
FAR_ROUND_S: Final = 0.5
# Rounds in which only entries of the endpoint's domain are chosen. Their items
# may be of another service, or wait for a retry.
NEAR_ROUNDS: Final = 2
SCORE_RANGE: Final = 2 ** (8 * DIGEST_BYTES)


def weighted_first(weights: Mapping[str, float], key: str) -> str | None:
    """Return the member that ranks first for a key; None without weights.

    The chance of each member over all keys is in proportion to its weight.

    >>> weighted_first({'a': 0, 'b': 2}, 'slot')
    'b'
    >>> weighted_first({'a': 0}, 'slot') is None
    True
    """

    def rank(member: str) -> tuple[float, str]:
        uniform = (score(member, key) + 1) / (SCORE_RANGE + 1)
        return math.log(uniform) / weights[member], member

    return max(
        (member for member, weight in weights.items() if weight > 0),
        key=rank,
        default=None,
    )


@dataclass(slots=True)
class SlotGrants:
    """The entries that may fill free slots, as seen by one entry."""

    own_id: str
    loads: LoadTable
    shares: ItemShares = field(default_factory=ItemShares)
    # Returns the failure domain of an entry; empty if it is not known. None if
    # all entries are taken alike.
    domain_of_entry: Callable[[str], str] | None = None
    # Number of batch runs on each endpoint, and when it last changed.
    batch_runs: dict[str, tuple[int, float]] = field(default_factory=dict)

    def drop_absent(self, endpoint_ids: Collection[str]) -> None:
        """Drop the endpoints that are no longer registered."""
        for endpoint_id in list(self.batch_runs):
            if endpoint_id not in endpoint_ids:
                del self.batch_runs[endpoint_id]

    def round_of(
        self, weights: Mapping[str, float], failure_domain: str, waited_s: float
    ) -> tuple[int, Mapping[str, float]]:
        """Return the round after some time, and the weights that hold in it.

        The first rounds are those of the endpoint's own domain.
        """
        near_number = int(waited_s / ROUND_S)
        if self.domain_of_entry is None:
            return near_number, weights
        near = {
            entry: weight
            for entry, weight in weights.items()
            if weight and self.domain_of_entry(entry) == failure_domain
        }
        if near and near_number < NEAR_ROUNDS:
            return near_number, near
        return NEAR_ROUNDS + int(waited_s / FAR_ROUND_S), weights

    def weigh_entries(self, own_pending: int) -> Mapping[str, float]:
        """Return the weight of each entry; empty if no peer has items."""
        pending = self.loads.pending_by_peer()
        if not pending:
            return {}
        pending[self.own_id] = own_pending
        return self.shares.weigh_entries(self.own_id, pending)

    def may_fill(
        self,
        endpoint_id: str,
        own_pending: int,
        now_s: float,
        failure_domain: str = '',
        weights: Mapping[str, float] | None = None,
    ) -> bool:
        """Return whether this entry fills the free slots of an endpoint.

        `weights` are those of the entries if they are known already.
        """
        if weights is None:
            weights = self.weigh_entries(own_pending)
        if not weights:
            return own_pending > 0
        running = self.loads.batch(endpoint_id)
        known, since_s = self.batch_runs.get(endpoint_id, (-1, now_s))
        if known != running:
            since_s = now_s
            self.batch_runs[endpoint_id] = (running, now_s)
        number, weights = self.round_of(
            weights, failure_domain, now_s - since_s
        )
        key = f'{endpoint_id}/{running}/{number}'
        return weighted_first(weights, key) == self.own_id
