"""Failures that callers of the batch interface get."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, Literal

from quetzaldyke.parts.kv import KvError

Ran = Literal['not_run', 'ran', 'unknown']
RETRY_AFTER_S: Final = 2

NOT_FOUND: Final = 404
CONFLICT: Final = 409
BAD_REQUEST: Final = 400
TOO_LARGE: Final = 413
UNAVAILABLE: Final = 503


@dataclass(frozen=True, slots=True)
class JobError:
    """A refusal; `ran` says truthfully whether it may have taken effect."""

    status: int
    code: str
    message: str
    ran: Ran = 'not_run'
    retry_after_s: int = 0


def store_error(error: KvError, wrote: bool = False) -> JobError:
    """Return the refusal for a failed call of the key-value service.

    `wrote` tells that an earlier step of the same operation was written;
    the operation has then partly run and a resend completes it.
    """
    if error.kind == 'too_large':
        return JobError(TOO_LARGE, 'too_large', 'the record is too large')
    uncertain = wrote or error.kind == 'unknown'
    return JobError(
        UNAVAILABLE,
        'store_unavailable',
        'the key-value service does not answer; send the request again',
        'unknown' if uncertain else 'not_run',
        RETRY_AFTER_S,
    )


def not_found(what: str) -> JobError:
    """Return the refusal for an unknown id."""
    return JobError(NOT_FOUND, 'not_found', f'no such {what}')


def expired(what: str) -> JobError:
    """Return the refusal for something past its retention."""
    return JobError(
        NOT_FOUND,
        'expired',
        f'the {what} was deleted after its retention time',
    )
