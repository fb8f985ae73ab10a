"""Counts the batch items of organisations, and shares slots among entries.

Load pattern: one organisation submits jobs of thousands of items, to one entry
or to all, and another one submits ten items to one entry. If slots were granted
to entries by the items that each could start, the ten would wait for the
thousands.

Each organisation's share of the slots is divided among the entries by where its
items wait. `item_order.py` decides which item of an entry goes first.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from quetzaldyke.gateway.fair_shares import MAX_ROWS, add_nonzero
from quetzaldyke.gateway.loads import PEER_REPORT_TTL_S
from quetzaldyke.parts.fair_order import equal_weight, fade_use

# Share of the past use that still counts after one interval.
USE_DECAY_FACTOR: Final = 0.5
USE_DECAY_INTERVAL_S: Final = 10.0


@dataclass(frozen=True, slots=True)
class ItemRow:
    """Unfinished batch items of an organisation at one entry."""

    organisation: str
    running: int
    pending: int


@dataclass(slots=True)
class PeerItems:
    """The rows of a peer's last report."""

    rows: tuple[ItemRow, ...]
    received_s: float


@dataclass(slots=True)
class ItemShares:
    """Batch items by organisation, of this entry and its peers."""

    # Returns the weight of an organisation.
    weight_of: Callable[[str], float] = equal_weight
    # Rows that the peers were told last.
    own: tuple[ItemRow, ...] = ()
    peers: dict[str, PeerItems] = field(default_factory=dict)
    # Items that run at peers, without zeros.
    elsewhere: dict[str, int] = field(default_factory=dict)
    # Recent events of each organisation for its weight, in items.
    recent_use: dict[str, float] = field(default_factory=dict)
    last_decay_s: float = 0.0

    def apply(self, peer: str, rows: tuple[ItemRow, ...], now_s: float) -> None:
        """Replace the rows of a peer."""
        old = self.peers.pop(peer, None)
        for row in old.rows if old else ():
            add_nonzero(self.elsewhere, row.organisation, -row.running)
        for row in rows:
            add_nonzero(self.elsewhere, row.organisation, row.running)
        if rows:
            self.peers[peer] = PeerItems(rows, now_s)

    def remove_silent_peers(self, now_s: float) -> None:
        """Remove the rows of peers that have not reported lately."""
        for peer, known in list(self.peers.items()):
            if now_s - known.received_s > PEER_REPORT_TTL_S:
                self.apply(peer, (), now_s)

    def add_use(self, organisation: str, items: float) -> None:
        """Count what a run has brought, as a part of a usual item."""
        known = self.recent_use.get(organisation, 0.0)
        added = items / self.weight_of(organisation)
        self.recent_use[organisation] = known + added

    def fade(self, now_s: float) -> None:
        """Let past use count less as time passes."""
        if now_s - self.last_decay_s >= USE_DECAY_INTERVAL_S:
            self.last_decay_s = now_s
            fade_use(self.recent_use, USE_DECAY_FACTOR)

    def weigh_entries(
        self, own_id: str, pending: Mapping[str, int]
    ) -> Mapping[str, float]:
        """Return the weight of each entry for the grant of a slot.

        `pending` counts the items that each entry could start. Entries
        whose rows tell of none share as one organisation would.
        """
        rows = {peer: known.rows for peer, known in self.peers.items()}
        rows[own_id] = self.own
        if not any(rows.values()):
            return pending
        by_flow: dict[str, dict[str, int]] = {}
        for entry, items in pending.items():
            if not items:
                continue
            told = [row for row in rows.get(entry, ()) if row.pending]
            for row in told or (ItemRow('', 0, items),):
                waiting = by_flow.setdefault(row.organisation, {})
                waiting[entry] = waiting.get(entry, 0) + row.pending
        weights = dict.fromkeys(pending, 0.0)
        for flow, waiting in by_flow.items():
            total = sum(waiting.values())
            for entry, items in waiting.items():
                weights[entry] += self.weight_of(flow) * items / max(total, 1)
        return weights


def heaviest_items(rows: Iterable[ItemRow]) -> tuple[ItemRow, ...]:
    """Return as many rows as a report holds, those with few items merged.

    The last row then stands for all that found no room, without a name like
    that of jobs without an organisation.
    """
    ordered = sorted(
        rows, key=lambda row: (-row.pending, -row.running, row.organisation)
    )
    kept, rest = ordered[: MAX_ROWS - 1], ordered[MAX_ROWS - 1 :]
    if len(rest) > 1:
        running = sum(row.running for row in rest)
        rest = [ItemRow('', running, sum(row.pending for row in rest))]
    return (*kept, *rest)
