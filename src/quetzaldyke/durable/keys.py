"""Keys of batch records and ids that are derived from contents.

Ids of files and jobs are hashes, so that a retry names the same record
without a lookup. The organisation is part of each hash.
"""

from __future__ import annotations

import hashlib
from typing import Final

ACTIVE_LIST_COUNT: Final = 16
ID_CHARS: Final = 32
DIGEST_BYTES: Final = 16
FILES_PREFIX: Final = 'files/'
JOBS_PREFIX: Final = 'jobs/'


def hash_parts(*parts: str) -> str:
    """Return a hash of texts that also depends on where each one ends.

    >>> hash_parts('ab', 'c') == hash_parts('a', 'bc')
    False
    """
    digest = hashlib.sha256()
    for part in parts:
        raw = part.encode()
        digest.update(f'{len(raw)}:'.encode())
        digest.update(raw)
    return digest.hexdigest()[:ID_CHARS]


def file_id_of(organisation: str, input_digest: str) -> str:
    """Return the id of an organisation's file with these contents."""
    return f'file-{hash_parts(organisation, input_digest)}'


def contents_hash(
    organisation: str,
    input_digest: str,
    endpoint: str,
    deadline: str,
) -> str:
    """Return a hash that is equal for jobs with the same contents."""
    return hash_parts(organisation, input_digest, endpoint, deadline)


def job_id_of(organisation: str, key: str, contents: str) -> str:
    """Return the id of a job.

    It is derived from the idempotency key, or from the contents when there
    is no key.
    """
    if key:
        return f'batch_{hash_parts(organisation, "key", key)}'
    return f'batch_{hash_parts(organisation, "contents", contents)}'


def replacement_job_id(job_id: str, now_ms: int) -> str:
    """Return the id of a new job with the contents of an expired one."""
    return f'batch_{hash_parts(job_id, str(now_ms))}'


def file_key(organisation: str, file_id: str) -> str:
    """Return the key of a file's record."""
    return f'{FILES_PREFIX}{organisation}/{file_id}'


def input_key(name: str) -> str:
    """Return the key of one input segment."""
    return f'inputs/{name}'


def job_key(organisation: str, job_id: str) -> str:
    """Return the key of a job's record."""
    return f'{JOBS_PREFIX}{organisation}/{job_id}'


def contents_key(organisation: str, contents: str) -> str:
    """Return the key that holds the id of the job with these contents."""
    return f'contents/{organisation}/{contents}'


def active_list_of(job_id: str) -> int:
    """Return the number of the active list that a job belongs to.

    >>> 0 <= active_list_of('batch_1') < ACTIVE_LIST_COUNT
    True
    """
    raw = hashlib.sha256(job_id.encode()).digest()
    return raw[0] % ACTIVE_LIST_COUNT


def active_key(number: int) -> str:
    """Return the key of an active list."""
    return f'active/{number}'


def progress_prefix(job_id: str) -> str:
    """Return the prefix of all progress records of a job."""
    return f'progress/{job_id}/'


def progress_key(job_id: str, segment: int) -> str:
    """Return the key of a segment's progress record."""
    return f'{progress_prefix(job_id)}{segment}'


def packs_prefix(job_id: str) -> str:
    """Return the prefix of all result packs of a job."""
    return f'packs/{job_id}/'


def pack_key(job_id: str, segment: int, name: str) -> str:
    """Return the key of one result pack."""
    return f'{packs_prefix(job_id)}{segment}/{name}'
