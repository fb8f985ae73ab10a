"""Orders the batch items of one entry, fair among organisations.

Load pattern: one organisation's thousands of items are due before the ten of
another one, or just as early. Ordered by due time alone, the ten would wait for
the thousands.

The next item is one of the organisation with the fewest running items for its
weight, over all entries, then of the one that had the fewest events lately.
Items that would soon be late go first, but only as many as keep their
organisation within its share. Within an organisation the order stays that of
`batch_schedule.py`, and so it does where all items belong to one.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence

from quetzaldyke.gateway.batch_schedule import Candidate, start_order
from quetzaldyke.gateway.item_shares import ItemShares
from quetzaldyke.parts.fair_order import FlowTable


def fair_start_order(
    candidates: Iterable[Candidate],
    shares: ItemShares,
    running: Mapping[str, int],
    slots: float,
) -> list[Candidate]:
    """Return the items in the order in which they should start.

    `running` counts this entry's running items by organisation, `slots` those
    of the service.
    """
    ordered = start_order(candidates)
    flows = {one.organisation for one in ordered}
    if len(flows) < 2:
        return ordered
    # Past use takes the place of virtual times; nothing is started in the table.
    table = FlowTable(
        shares.weight_of,
        dict(running),
        shares.elsewhere,
        next_times=shares.recent_use,
    )
    active = flows | running.keys() | shares.elsewhere.keys()
    share = slots / sum(map(shares.weight_of, active))
    urgent = urgent_within_share(ordered, table, share)
    for one in urgent:
        held = table.running.get(one.organisation, 0)
        table.running[one.organisation] = held + 1
    chosen = set(urgent)
    timely = [one for one in ordered if not one.late and one not in chosen]
    late = [one for one in ordered if one.late]
    return urgent + in_fair_order(timely, table) + in_fair_order(late, table)


def lines_of(ordered: Iterable[Candidate]) -> dict[str, list[Candidate]]:
    """Return ordered items by organisation."""
    lines: dict[str, list[Candidate]] = {}
    for one in ordered:
        lines.setdefault(one.organisation, []).append(one)
    return lines


def urgent_within_share(
    ordered: Sequence[Candidate], table: FlowTable, share: float
) -> list[Candidate]:
    """Return the urgent items that don't exceed their organisation's share.

    `share` is for a weight of 1.
    """
    chosen: list[Candidate] = []
    for flow, line in lines_of(ordered).items():
        urgent = [one for one in line if one.urgent and not one.late]
        whole = max(1, math.floor(share * table.weight_of(flow)))
        room = whole - table.held(flow)
        chosen += urgent[: max(0, room)]
    return start_order(chosen)


def in_fair_order(
    ordered: Sequence[Candidate], table: FlowTable
) -> list[Candidate]:
    """Return ordered items in the fair order among organisations."""
    places = {one: place for place, one in enumerate(ordered)}
    return list(table.in_order(lines_of(ordered), places.__getitem__))
