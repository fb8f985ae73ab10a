"""Errors that callers of the batch API get."""

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
    """Error of an operation; `ran` says whether it may have taken effect."""

    status: int
    code: str
    message: str
    ran: Ran = 'not_run'
    retry_after_s: int = 0


def store_error(error: KvError, wrote: bool = False) -> JobError:
    """Return the error for a failed call of the key-value service.

    `wrote` tells that an earlier step of the same operation was written. The
    operation may then have taken effect, and a retry completes it.
    """
    if error.kind == 'too_large':
        return JobError(
            TOO_LARGE,
            'too_large',
            'the record exceeds the size limit of the key-value service',
        )
    uncertain = wrote or error.kind == 'unknown'
    return JobError(
        UNAVAILABLE,
        'store_unavailable',
        'the key-value service is unavailable; retry the request',
        'unknown' if uncertain else 'not_run',
        RETRY_AFTER_S,
    )


def not_found(what: str) -> JobError:
    """Return the error for an unknown id."""
    return JobError(NOT_FOUND, 'not_found', f'no such {what}')


def expired(what: str) -> JobError:
    """Return the error for a file or job past its retention time."""
    return JobError(
        NOT_FOUND,
        'expired',
        f'the {what} was deleted after its retention time',
    )
