"""Identifies the parts of a prompt that requests share.

One part of a prompt, such as a system message or a document, can crash each
endpoint that answers a request with it, whatever else the prompt holds. A
request's fingerprint does not show that, because it covers the whole content.
"""

from __future__ import annotations

import hashlib
from typing import Final

import orjson

from quetzaldyke.request.prefixes import prefix_hashes

# Bounds the evidence that one request leaves after a crash.
MAX_PARTS: Final = 16
PART_DIGEST_BYTES: Final = 8


def prompt_parts(pool: str, body: bytes) -> tuple[str, ...]:
    """Return keys of the parts of a prompt, the most widely shared first.

    These are the messages of a conversation with their places, or the
    prefixes of other prompts. A body of another form has none.

    >>> parts = prompt_parts('p', b'{"messages": [{"content": "a"}]}')
    >>> [part.startswith('part/1/') for part in parts]
    [True]
    >>> prompt_parts('p', b'not json'), prompt_parts('p', b'[]')
    ((), ())
    """
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError:
        return ()
    if not isinstance(document, dict):
        return ()
    messages = document.get('messages')
    if isinstance(messages, list):
        texts = [
            orjson.dumps(message, option=orjson.OPT_SORT_KEYS)
            for message in messages[:MAX_PARTS]
        ]
    else:
        prompt = document.get('prompt')
        prefixes = prefix_hashes(prompt) if isinstance(prompt, str) else ()
        texts = [prefix.encode() for prefix in prefixes[:MAX_PARTS]]
    return tuple(
        f'part/{place}/{digest(pool, text)}'
        for place, text in enumerate(texts, start=1)
    )


def digest(pool: str, text: bytes) -> str:
    """Return a short hash of a part in a pool."""
    hashed = hashlib.blake2b(text, digest_size=PART_DIGEST_BYTES)
    hashed.update(pool.encode())
    return hashed.hexdigest()
