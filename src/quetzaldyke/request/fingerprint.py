"""Computes a fingerprint of a request's content that is equal for retries.

Request ids and the organisation are not included, so that a request that
crashes endpoints is recognised when any caller sends it again.
"""

from __future__ import annotations

import hashlib
from typing import Final

import orjson

# Fields that do not affect what the engine computes.
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
    """Return the same bytes for JSON documents with equal content.

    Fields in `IGNORED_FIELDS` are removed; other bodies are unchanged.

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
    """Return the SHA-256 of pool, path and canonical body, in hex."""
    digest = hashlib.sha256()
    for part in (pool.encode(), path.encode(), canonical_json(body)):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()
