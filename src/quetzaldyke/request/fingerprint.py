"""Fingerprint of a request's content, the same for every resend.

Request ids and the organisation are left out, so that a request that
crashes endpoints is recognised whoever sends it again.
"""

from __future__ import annotations

import hashlib
from typing import Final

import orjson

# Fields that don't change what the engine computes.
IGNORED_FIELDS: Final = frozenset(
    (
        'user',
        'metadata',
        'request_id',
        'stream',
        'stream_options',
        'resume_text',
        'resume_tokens',
    ),
)


def canonical_json(body: bytes) -> bytes:
    """Return the same bytes for equal JSON documents.

    >>> canonical_json(b'{"b": 1, "a": 2}') == canonical_json(b'{"a":2,"b":1}')
    True
    >>> canonical_json(b'not json')
    b'not json'
    """
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError:
        return body
    if isinstance(document, dict):
        document = {
            name: value
            for name, value in document.items()
            if name not in IGNORED_FIELDS
        }
    return orjson.dumps(document, option=orjson.OPT_SORT_KEYS)


def fingerprint(pool: str, path: str, body: bytes) -> str:
    """Return the fingerprint of a request to a pool."""
    digest = hashlib.sha256()
    for part in (pool.encode(), path.encode(), canonical_json(body)):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()
