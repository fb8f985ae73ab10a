"""Names of a prompt's prefixes, as engines name them in cache events.

A name is the start of the SHA-256 over the words of one or more whole
blocks. Engines that name blocks differently never match, and routing then
goes by load alone.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from typing import Final

from quetzaldyke.request.model import ChatBody, CompletionBody, GenerationBody

BLOCK_WORDS: Final = 16
HASH_CHARS: Final = 16
# Longer prefixes would cost more to hash than the hint is worth.
MAX_BLOCKS: Final = 64


def prompt_of(body: GenerationBody) -> str:
    """Return the text of a request in the order in which engines read it."""
    match body:
        case ChatBody(messages=messages):
            return '\n'.join(
                message_text(message.content) for message in messages
            )
        case CompletionBody(prompt=prompt):
            return prompt
    return ''


def message_text(content: str | Sequence[dict[str, object]] | None) -> str:
    """Return the text of a message, given as text or as parts."""
    if content is None or isinstance(content, str):
        return content or ''
    return ''.join(str(part.get('text', '')) for part in content)


def prefix_hashes(prompt: str) -> tuple[str, ...]:
    """Return the name of each whole block's prefix, shortest first.

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
