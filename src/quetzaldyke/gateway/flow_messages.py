"""Messages between entries about what organisations use, and their encoding.

They are datagrams of their own: entries of earlier versions drop them, and
would drop a load report with more fields as a whole.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

import msgpack

from quetzaldyke.gateway.fair_shares import RequestRow
from quetzaldyke.gateway.item_shares import ItemRow

FLOW_KIND: Final = 'flows'
# Far above the requests or items that one entry can hold.
MAX_REQUESTS: Final = 100_000_000


@dataclass(frozen=True, slots=True)
class FlowReport:
    """What organisations have running and waiting at the sender."""

    sender: str
    requests: tuple[RequestRow, ...] = ()
    items: tuple[ItemRow, ...] = ()


def encode_flow_report(report: FlowReport) -> bytes:
    """Encode a report as a datagram."""
    requests = [
        [one.service, one.organisation, one.priority, one.running, one.waiting]
        for one in report.requests
    ]
    items = [
        [one.organisation, one.running, one.pending] for one in report.items
    ]
    content = [requests, items]
    return bytes(msgpack.packb([FLOW_KIND, report.sender, content]))


def decode_flow_report(sender: str, content: Any) -> FlowReport:
    """Decode the content of a report."""
    requests, items = content
    return FlowReport(
        sender,
        tuple(
            RequestRow(
                str(service),
                str(organisation),
                decode_number(priority),
                decode_number(running),
                decode_number(waiting),
            )
            for service, organisation, priority, running, waiting in requests
        ),
        tuple(
            ItemRow(
                str(organisation),
                decode_number(running),
                decode_number(pending),
            )
            for organisation, running, pending in items
        ),
    )


def decode_number(number: Any) -> int:
    """Decode a number of requests; raises `ValueError` if it can't be one."""
    decoded = int(number)
    if not 0 <= decoded <= MAX_REQUESTS:
        raise ValueError(f'number {decoded}')
    return decoded
