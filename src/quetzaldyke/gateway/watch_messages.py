"""Messages of the watches that entries share, and their encoding."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

import msgpack

from quetzaldyke.gateway.limit_messages import decode_non_negative
from quetzaldyke.parts.transactions import WatchedChange

UPDATE_KIND: Final = 'watch'
NOTICE_KIND: Final = 'watch_notice'
# The store counts revisions in 64 bits with a sign.
MAX_REVISION: Final = 0x7FFF_FFFF_FFFF_FFFF


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
