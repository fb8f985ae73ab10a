"""Messages between entries about organisations' rates, and their encoding."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

import msgpack

from quetzaldyke.gateway.limit_messages import (
    decode_count,
    decode_non_negative,
)
from quetzaldyke.parts.rate_shares import ShareHeartbeat

# Numbers are sent as unsigned integers of 64 bits.
MAX_NUMBER: Final = 0xFFFF_FFFF_FFFF_FFFF


@dataclass(frozen=True, slots=True)
class RateAsk:
    """Asks the coordinator of an organisation for permits."""

    sender: str
    organisation: str
    # The sender's number of this ask; the same if the ask is sent again.
    number: int
    wanted: int
    # The limit that the sender knows of.
    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class RateGrant:
    """The answer to one ask; tells when to send what was not granted."""

    sender: str
    organisation: str
    number: int
    granted: int
    # When the first request that got no permit may be sent again, and how much
    # later each further one.
    retry_after_s: float = 0.0
    retry_step_s: float = 0.0
    # Until there is a token for anybody.
    next_token_s: float = 0.0
    # Whether the sender holds less than most of the shares of the rate.
    minority: bool = False


RateMessage = ShareHeartbeat | RateAsk | RateGrant


def encode_rate_message(message: RateMessage) -> bytes:
    """Encode a message as a datagram."""
    kind, row = content_of(message)
    return bytes(msgpack.packb([kind, message.sender, row]))


def content_of(message: RateMessage) -> tuple[str, list[object]]:
    """Return the kind and the content of a message."""
    match message:
        case ShareHeartbeat():
            return 'rate_shares', [
                message.instance,
                message.number,
                message.echo,
                message.hold_s,
                message.members,
                message.instances,
                sorted(message.unheard),
                sorted(message.unsettled),
                message.leaving,
            ]
        case RateAsk(_, organisation, number, wanted, rate, burst):
            return 'rate_ask', [organisation, number, wanted, rate, burst]
        case RateGrant():
            return 'rate_grant', [
                message.organisation,
                message.number,
                message.granted,
                message.retry_after_s,
                message.retry_step_s,
                message.next_token_s,
                message.minority,
            ]


def decode_rate_message(
    kind: str, sender: str, content: Any
) -> RateMessage | None:
    """Decode the content of a message; None if its kind is unknown.

    Raises an error if the content is malformed.
    """
    match kind:
        case 'rate_shares':
            return decode_heartbeat(sender, *content)
        case 'rate_ask':
            organisation, number, wanted, rate, burst = content
            return RateAsk(
                sender,
                str(organisation),
                decode_integer(number),
                decode_count(wanted),
                decode_non_negative(rate),
                decode_non_negative(burst),
            )
        case 'rate_grant':
            organisation, number, granted, *waits_s, minority = content
            retry_after_s, retry_step_s, next_token_s = waits_s
            return RateGrant(
                sender,
                str(organisation),
                decode_integer(number),
                decode_count(granted),
                decode_non_negative(retry_after_s),
                decode_non_negative(retry_step_s),
                decode_non_negative(next_token_s),
                bool(minority),
            )
    return None


def decode_heartbeat(
    sender: str,
    instance: Any,
    number: Any,
    echo: Any,
    hold_s: Any,
    members: Any,
    instances: Any,
    unheard: Any,
    unsettled: Any,
    leaving: Any,
) -> ShareHeartbeat:
    """Decode a heartbeat."""
    return ShareHeartbeat(
        sender,
        str(instance),
        decode_integer(number),
        decode_integer(echo),
        decode_non_negative(hold_s),
        decode_integer(members),
        decode_integer(instances),
        decode_names(unheard),
        decode_names(unsettled),
        bool(leaving),
    )


def decode_names(names: Any) -> frozenset[str]:
    """Decode a list of members; raises `ValueError` if it is none."""
    if not isinstance(names, list):
        raise ValueError(f'names of type {type(names).__name__}')
    return frozenset(str(name) for name in names)


def decode_integer(number: Any) -> int:
    """Decode a number of 64 bits; raises `ValueError` if it is none."""
    if not isinstance(number, int) or not 0 <= number <= MAX_NUMBER:
        raise ValueError(f'number {number!r:.40}')
    return number
