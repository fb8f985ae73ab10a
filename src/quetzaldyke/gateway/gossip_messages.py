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
from quetzaldyke.parts.crash_causes import Trait
from quetzaldyke.parts.rate_shares import ShareHeartbeat
from quetzaldyke.parts.transactions import WatchedChange

# Raised for content of another form; an infinite number is no integer.
MALFORMED_CONTENT: Final = (
    ValueError,
    TypeError,
    AttributeError,
    OverflowError,
    msgpack.UnpackException,
)


UPDATE_KIND: Final = 'watch'
NOTICE_KIND: Final = 'watch_notice'
# The store counts revisions in 64 bits with a sign.
MAX_REVISION: Final = 0x7FFF_FFFF_FFFF_FFFF


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


@dataclass(frozen=True, slots=True)
class WatchUpdate:
    """What a watcher has read: all changes between two revisions."""

    sender: str
    prefix: str
    # All changes after this revision, up to `revision`, are included.
    after_revision: int
    revision: int
    # None if they are too large to be sent.
    changes: tuple[WatchedChange, ...] | None
    # For how much longer missing registrations may come back after an outage
    # of the store.
    lapse_grace_s: float
    # Age of what the sender has read: all changes before that are included.
    age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class WatchNotice:
    """The revisions of the last changes that the sender has read."""

    sender: str
    # By prefix.
    revisions: dict[str, int]


WatchMessage = WatchUpdate | WatchNotice
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


def encode_watch_message(message: WatchMessage) -> bytes:
    """Encode an update or a notice."""
    if isinstance(message, WatchNotice):
        row: Any = [NOTICE_KIND, message.sender, message.revisions]
    else:
        row = [UPDATE_KIND, message.sender, row_of_update(message)]
    return bytes(msgpack.packb(row))


def row_of_update(update: WatchUpdate) -> list[object]:
    """Return the content of an update."""
    changes = None
    if update.changes is not None:
        changes = [
            [change.key, change.revision, change.value]
            for change in update.changes
        ]
    return [
        update.prefix,
        update.after_revision,
        update.revision,
        changes,
        update.lapse_grace_s,
        update.age_s,
    ]


def decode_watch_message(kind: str, sender: str, content: Any) -> WatchMessage:
    """Decode the content of an update or a notice.

    Raises an error if it is malformed.
    """
    if kind == NOTICE_KIND:
        revisions = {
            str(prefix): decode_revision(revision)
            for prefix, revision in content.items()
        }
        return WatchNotice(sender, revisions)
    return decode_watch_update(sender, content)


def decode_watch_update(sender: str, content: Any) -> WatchUpdate:
    """Decode what a watcher has read."""
    prefix, after, revision, rows, lapse_grace_s, age_s = content
    changes = None
    if rows is not None:
        changes = tuple(
            WatchedChange(
                str(key),
                decode_revision(changed),
                decode_value(value),
            )
            for key, changed, value in rows
        )
    return WatchUpdate(
        sender,
        str(prefix),
        decode_revision(after),
        decode_revision(revision),
        changes,
        decode_non_negative(lapse_grace_s),
        decode_non_negative(age_s),
    )


def decode_value(value: Any) -> bytes | None:
    """Decode the value of a changed key, None if the key was deleted.

    Raises `ValueError` for any other type: bytes() of a number would allocate
    that many zeros.
    """
    if value is None or isinstance(value, bytes):
        return value
    raise ValueError(f'value of type {type(value).__name__}')


def decode_revision(revision: Any) -> int:
    """Decode a revision of the store; raises `ValueError` if it is none."""
    decoded = int(revision)
    if not 0 <= decoded <= MAX_REVISION:
        raise ValueError(f'revision {decoded}')
    return decoded
