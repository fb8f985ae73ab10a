"""Messages between entries, and their encoding as datagrams.

A datagram comes from a peer of any build, or from elsewhere: one that can't
be decoded completely is dropped as a whole.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

import msgpack

from quetzaldyke.gateway.crashes import CrashReport, ReportedCrash
from quetzaldyke.gateway.drain_exchange import (
    DrainUpdate,
    decode_drain_update,
)
from quetzaldyke.gateway.flow_messages import (
    FLOW_KIND,
    FlowReport,
    decode_flow_report,
    decode_number,
    encode_flow_report,
)
from quetzaldyke.gateway.limit_messages import (
    LimitMessage,
    decode_limit_message,
    decode_non_negative,
    encode_limit_message,
)
from quetzaldyke.gateway.loads import RequestCounts
from quetzaldyke.gateway.rate_messages import (
    RateAsk,
    RateGrant,
    RateMessage,
    decode_rate_message,
    encode_rate_message,
)
from quetzaldyke.gateway.speed_exchange import (
    SpeedUpdate,
    decode_speed_update,
)
from quetzaldyke.gateway.watch_messages import (
    NOTICE_KIND,
    UPDATE_KIND,
    WatchNotice,
    WatchUpdate,
    decode_watch_message,
    encode_watch_message,
)
from quetzaldyke.parts.crash_causes import Trait
from quetzaldyke.parts.rate_shares import ShareHeartbeat

# Raised for content of another form; an infinite number is no integer.
MALFORMED_CONTENT: Final = (
    ValueError,
    TypeError,
    AttributeError,
    OverflowError,
    msgpack.UnpackException,
)


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The sender's load by endpoint id, and its connection to the store."""

    sender: str
    counts: dict[str, RequestCounts]
    # Online requests that are queued at the sender, by service.
    waiting: dict[str, int]
    # Batch items that the sender could start if there was capacity.
    pending: int
    # For how long the sender has reached the platform's store directly; 0 if
    # it currently does not.
    store_up_s: float


@dataclass(frozen=True, slots=True)
class PreemptBatch:
    """Asks the receiver to preempt one of its batch runs on an endpoint."""

    sender: str
    endpoint_id: str


@dataclass(frozen=True, slots=True)
class JobEnded:
    """Announces that a caller has ended a job."""

    sender: str
    job_id: str


GossipMessage = (
    LoadReport
    | PreemptBatch
    | JobEnded
    | CrashReport
    | WatchUpdate
    | WatchNotice
    | DrainUpdate
    | FlowReport
    | SpeedUpdate
    | LimitMessage
    | RateMessage
)


def encode(message: GossipMessage) -> bytes:
    """Encode a message as a datagram."""
    match message:
        case LoadReport(sender, counts, waiting, pending, store_up_s):
            rows = [[key, one.online, one.batch] for key, one in counts.items()]
            row = [rows, waiting, pending, store_up_s]
            return bytes(msgpack.packb(['load', sender, row]))
        case PreemptBatch(sender, endpoint_id):
            return bytes(msgpack.packb(['room', sender, endpoint_id]))
        case JobEnded(sender, job_id):
            return bytes(msgpack.packb(['ended', sender, job_id]))
        case CrashReport():
            return encode_crash_report(message)
        case WatchUpdate() | WatchNotice():
            return encode_watch_message(message)
        case DrainUpdate(sender, lifetimes):
            return bytes(msgpack.packb(['draining', sender, lifetimes]))
        case FlowReport():
            return encode_flow_report(message)
        case ShareHeartbeat() | RateAsk() | RateGrant():
            return encode_rate_message(message)
        case SpeedUpdate(sender, paces):
            return bytes(msgpack.packb(['speeds', sender, paces]))
        case _:
            return encode_limit_message(message)


def encode_crash_report(report: CrashReport) -> bytes:
    """Encode what a sender has seen of crashes."""
    rows = [
        [
            [[trait.key, trait.specificity] for trait in crash.traits],
            crash.lifetime,
            crash.late,
            crash.age_s,
            crash.service,
            crash.ago_s,
        ]
        for crash in report.crashes
    ]
    row = [rows, report.cleared, report.tried]
    return bytes(msgpack.packb(['crash', report.sender, row]))


def decode(datagram: bytes) -> GossipMessage | None:
    """Decode a datagram; return None if it is malformed or of unknown type.

    >>> decode(encode(PreemptBatch('a', 'e1')))
    PreemptBatch(sender='a', endpoint_id='e1')
    >>> decode(b'?')
    """
    try:
        kind, sender, content = msgpack.unpackb(datagram)
        return decode_content(kind, str(sender), content)
    except MALFORMED_CONTENT:
        return None


def decode_content(
    kind: str, sender: str, content: Any
) -> GossipMessage | None:
    """Decode the content of a message; None if its kind is unknown.

    Raises one of `MALFORMED_CONTENT` if it is malformed.
    """
    match kind:
        case 'room':
            return PreemptBatch(sender, str(content))
        case 'ended':
            return JobEnded(sender, str(content))
        case 'crash':
            return decode_crash_report(sender, content)
        case 'load':
            return decode_load_report(sender, content)
        case 'draining':
            return decode_drain_update(sender, content)
        case 'speeds':
            return decode_speed_update(sender, content)
        case 'rate_shares' | 'rate_ask' | 'rate_grant':
            return decode_rate_message(kind, sender, content)
    if kind in {UPDATE_KIND, NOTICE_KIND}:
        return decode_watch_message(kind, sender, content)
    if kind == FLOW_KIND:
        return decode_flow_report(sender, content)
    return decode_limit_message(kind, sender, content)


def decode_crash_report(sender: str, content: Any) -> CrashReport:
    """Decode what a sender has seen of crashes."""
    rows, cleared, tried = content
    return CrashReport(
        sender,
        tuple(decode_crash(*row) for row in rows),
        {
            str(key): [str(lifetime) for lifetime in lifetimes]
            for key, lifetimes in cleared.items()
        },
        tuple(str(key) for key in tried),
    )


def decode_crash(
    traits: Any,
    lifetime: Any,
    late: Any,
    age_s: Any,
    service: Any,
    ago_s: Any,
) -> ReportedCrash:
    """Decode one crash of a report."""
    return ReportedCrash(
        tuple(Trait(str(key), int(specificity)) for key, specificity in traits),
        str(lifetime),
        bool(late),
        decode_non_negative(age_s),
        str(service),
        decode_non_negative(ago_s),
    )


def decode_load_report(sender: str, content: Any) -> LoadReport:
    """Decode a load report."""
    rows, waiting, pending, store_up_s = content
    return LoadReport(
        sender,
        {
            str(key): RequestCounts(decode_number(online), decode_number(batch))
            for key, online, batch in rows
        },
        {
            str(service): decode_number(queued)
            for service, queued in waiting.items()
        },
        decode_number(pending),
        decode_non_negative(store_up_s),
    )
