"""Computes hashes of a prompt's prefixes, as engines send in cache events.

A hash is the truncated SHA-256 of the words of one or more complete blocks.
Hashes of engines with another scheme never match, and routing then uses the
load alone.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from typing import Final

from quetzaldyke.request.model import ChatBody, CompletionBody, GenerationBody

BLOCK_WORDS: Final = 16
HASH_CHARS: Final = 16
# Hashing longer prefixes would cost more than prefix affinity gains.
MAX_BLOCKS: Final = 64


def prompt_of(body: GenerationBody) -> str:
    """Return the prompt text in the order in which engines read it."""
    match body:
        case ChatBody(messages=messages):
            return '\n'.join(
                message_text(message.content) for message in messages
            )
        case CompletionBody(prompt=prompt):
            return prompt
    return ''


def message_text(content: str | Sequence[dict[str, object]] | None) -> str:
    """Return the text of message content, given as text or as parts."""
    if content is None or isinstance(content, str):
        return content or ''
    return ''.join(str(part.get('text', '')) for part in content)


def prefix_hashes(prompt: str) -> tuple[str, ...]:
    """Return the hash of the prefix up to each block, shortest first.

    An incomplete last block is ignored, and so are blocks after
    `MAX_BLOCKS`.

    >>> prefix_hashes('too short')
    ()
    """
    words = prompt.split(maxsplit=BLOCK_WORDS * MAX_BLOCKS)
    digest = hashlib.sha256()
    hashes = []
    for end in range(BLOCK_WORDS, len(words) + 1, BLOCK_WORDS):
        block = ' '.join(words[end - BLOCK_WORDS : end])
        separator = ' ' if end > BLOCK_WORDS else ''
        digest.update(f'{separator}{block}'.encode())
        hashes.append(digest.hexdigest()[:HASH_CHARS])
    return tuple(hashes[:MAX_BLOCKS])
