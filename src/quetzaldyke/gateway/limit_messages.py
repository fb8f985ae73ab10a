"""Messages between entries about limited endpoints, and their encoding."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

import msgpack

from quetzaldyke.gateway.endpoint_limits import LimitAnswer
from quetzaldyke.parts.shared_rate import Grant

# Most permits that one ask or grant may name.
MAX_PERMITS: Final = 1_000


@dataclass(frozen=True, slots=True)
class LimitAnswers:
    """Reports responses of limited endpoints to their coordinator."""

    sender: str
    answers: tuple[LimitAnswer, ...]


@dataclass(frozen=True, slots=True)
class LimitUpdate:
    """Tells the limits that the sender knows of.

    A limit is in requests per second, and None if it has ended.
    """

    sender: str
    rates: dict[str, float | None]


@dataclass(frozen=True, slots=True)
class PermitAsk:
    """The permits that the sender wants of one endpoint."""

    key: str
    number: int
    online: int
    batch: int
    priority: int
    # The limit that the sender knows of.
    rate: float


@dataclass(frozen=True, slots=True)
class PermitAsks:
    """Asks the receiver for permits of endpoints that it coordinates."""

    sender: str
    asks: tuple[PermitAsk, ...]


@dataclass(frozen=True, slots=True)
class PermitGrant:
    """The reply to one ask; `grant.sender` is the receiver."""

    sender: str
    key: str
    grant: Grant
    # Of the message: it must not be applied twice.
    serial: int


@dataclass(frozen=True, slots=True)
class PermitOffer:
    """Invites the receiver to ask for a permit of an idle endpoint."""

    sender: str
    key: str


@dataclass(frozen=True, slots=True)
class PermitReturn:
    """Gives permits back that expired without being used, by endpoint."""

    sender: str
    permits: dict[str, int]
    # Of the message: it must not be applied twice.
    serial: int


@dataclass(frozen=True, slots=True)
class EndpointPauses:
    """Tells for how many seconds endpoints have asked for no requests."""

    sender: str
    # By lifetime of the endpoint.
    pauses_s: dict[str, float]


LimitMessage = (
    LimitAnswers
    | LimitUpdate
    | PermitAsks
    | PermitGrant
    | PermitOffer
    | PermitReturn
    | EndpointPauses
)


def encode_limit_message(message: LimitMessage) -> bytes:
    """Encode a message as a datagram."""
    kind, content = content_of(message)
    return bytes(msgpack.packb([kind, message.sender, content]))


def content_of(message: LimitMessage) -> tuple[str, Any]:
    """Return the kind and the content of a message."""
    match message:
        case LimitAnswers(_, answers):
            return 'limit_answers', [
                [one.key, one.rate, one.age_s, one.permitted] for one in answers
            ]
        case LimitUpdate(_, rates):
            return 'limit_update', rates
        case PermitAsks(_, asks):
            return 'permit_asks', [
                [
                    one.key,
                    one.number,
                    one.online,
                    one.batch,
                    one.priority,
                    one.rate,
                ]
                for one in asks
            ]
        case PermitGrant(_, key, grant, serial):
            return 'permit_grant', [
                serial,
                key,
                grant.sender,
                grant.number,
                grant.online,
                grant.batch,
                grant.online_wait_s,
                grant.batch_wait_s,
            ]
        case PermitOffer(_, key):
            return 'permit_offer', key
        case PermitReturn(_, permits, serial):
            return 'permit_return', [serial, permits]
        case EndpointPauses(_, pauses_s):
            return 'endpoint_pauses', pauses_s


def decode_limit_message(
    kind: str, sender: str, content: Any
) -> LimitMessage | None:
    """Decode the content of a message; None if its kind is unknown.

    Raises an error if the content is malformed.
    """
    match kind:
        case 'limit_answers':
            rows = [decode_answer(*row) for row in content]
            return LimitAnswers(sender, tuple(rows))
        case 'limit_update':
            rates = {
                str(key): decode_rate(rate) for key, rate in content.items()
            }
            return LimitUpdate(sender, rates)
        case 'permit_asks':
            asks = [decode_ask(*row) for row in content]
            return PermitAsks(sender, tuple(asks))
        case 'permit_grant':
            serial, key, *row = content
            grant = decode_grant(*row)
            return PermitGrant(sender, str(key), grant, int(serial))
        case 'permit_offer':
            return PermitOffer(sender, str(content))
        case 'permit_return':
            serial, counts = content
            permits = {
                str(key): decode_count(count) for key, count in counts.items()
            }
            return PermitReturn(sender, permits, int(serial))
        case 'endpoint_pauses':
            pauses_s = {
                str(key): decode_non_negative(pause_s)
                for key, pause_s in content.items()
            }
            return EndpointPauses(sender, pauses_s)
    return None


def decode_rate(rate: Any) -> float | None:
    """Decode a limit; raises `ValueError` if it is no rate."""
    if rate is None:
        return None
    return decode_non_negative(rate)


def decode_non_negative(number: Any) -> float:
    """Decode a finite number; raises `ValueError` if it is negative."""
    decoded = float(number)
    if not 0 <= decoded < float('inf'):
        raise ValueError(f'number {decoded}')
    return decoded


def decode_wait(wait_s: Any) -> float:
    """Decode a wait, which is infinite if no permit will come.

    Raises `ValueError` if it is negative or no number.
    """
    decoded = float(wait_s)
    if not decoded >= 0:
        raise ValueError(f'wait {decoded}')
    return decoded


def decode_count(count: Any) -> int:
    """Decode a number of permits; raises `ValueError` if it can't be one."""
    decoded = int(count)
    if not 0 <= decoded <= MAX_PERMITS:
        raise ValueError(f'count {decoded}')
    return decoded


def decode_answer(
    key: Any, rate: Any, age_s: Any, permitted: Any
) -> LimitAnswer:
    """Decode what a response showed of a limit."""
    return LimitAnswer(
        str(key), decode_rate(rate), decode_non_negative(age_s), bool(permitted)
    )


def decode_ask(
    key: Any, number: Any, online: Any, batch: Any, priority: Any, rate: Any
) -> PermitAsk:
    """Decode an ask for permits."""
    known = decode_rate(rate)
    if known is None:
        raise ValueError('ask without a limit')
    return PermitAsk(
        str(key),
        int(number),
        decode_count(online),
        decode_count(batch),
        int(priority),
        known,
    )


def decode_grant(
    sender: Any,
    number: Any,
    online: Any,
    batch: Any,
    online_wait_s: Any,
    batch_wait_s: Any,
) -> Grant:
    """Decode a grant."""
    return Grant(
        str(sender),
        int(number),
        decode_count(online),
        decode_count(batch),
        decode_wait(online_wait_s),
        decode_wait(batch_wait_s),
    )
