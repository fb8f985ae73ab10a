"""Derives the simulated engine's output from the prompt.

Output is deterministic, so that tests can compute the expected text and
check that a response is complete.
"""

from __future__ import annotations

import hashlib
from typing import Any, Final

HASH_CHARS: Final = 4
DEFAULT_MAX_TOKENS: Final = 16
# Prompts are cached in blocks of this many words.
BLOCK_WORDS: Final = 16
BLOCK_HASH_CHARS: Final = 16
# A prompt that contains this text crashes the engine.
CRASH_WORD: Final = 'CRASH'
# A prompt that contains this text is refused as invalid.
INVALID_WORD: Final = 'INVALID'


def token_text(prompt: str, index: int) -> str:
    """Return the text of the token at `index`, counted from 0.

    >>> token_text('hello', 3)
    ' w32cf2'
    """
    digest = hashlib.sha256(prompt.encode()).hexdigest()
    return f' w{index}{digest[:HASH_CHARS]}'


def answer_text(prompt: str, tokens: int, first: int = 0) -> str:
    """Return the text of tokens `first` to `tokens - 1`.

    >>> answer_text('hello', 2)
    ' w02cf2 w12cf2'
    """
    return ''.join(token_text(prompt, index) for index in range(first, tokens))


def content_text(content: Any) -> str:
    """Return message content as text; it is a string or a list of parts."""
    if isinstance(content, str):
        return content
    return ''.join(part.get('text', '') for part in content or ())


def prompt_text(body: dict[str, Any]) -> str:
    """Return the prompt; chat messages are joined by newlines.

    >>> prompt_text({'messages': [{'role': 'user', 'content': 'hello'}]})
    'hello'
    >>> prompt_text({'prompt': 'hello'})
    'hello'
    """
    if 'messages' in body:
        texts = [content_text(one.get('content')) for one in body['messages']]
        return '\n'.join(texts)
    return str(body.get('prompt', ''))


def prefix_hashes(prompt: str) -> list[str]:
    """Return the prefix hash of each full block, shortest prefix first.

    A hash is the truncated SHA-256 of all words up to the end of the block,
    joined by spaces.

    >>> prefix_hashes('too short')
    []
    """
    words = prompt.split()
    hashes = []
    for end in range(BLOCK_WORDS, len(words) + 1, BLOCK_WORDS):
        digest = hashlib.sha256(' '.join(words[:end]).encode()).hexdigest()
        hashes.append(digest[:BLOCK_HASH_CHARS])
    return hashes
