"""What the stand-in engine answers, as a function of the prompt.

Tests compute the same answer, so that they can check that one is whole.
"""

from __future__ import annotations

import hashlib
from typing import Any, Final

HASH_CHARS: Final = 4
DEFAULT_MAX_TOKENS: Final = 16
# Prompts are cached in blocks of this many words.
BLOCK_WORDS: Final = 16
BLOCK_HASH_CHARS: Final = 16
CRASH_WORD: Final = 'CRASH'
INVALID_WORD: Final = 'INVALID'


def token_text(prompt: str, index: int) -> str:
    """Return token `index` (from 0) of the answer to a prompt.

    >>> token_text('hello', 3)
    ' w32cf2'
    """
    digest = hashlib.sha256(prompt.encode()).hexdigest()
    return f' w{index}{digest[:HASH_CHARS]}'


def answer_text(prompt: str, tokens: int, first: int = 0) -> str:
    """Return tokens `first` to `tokens - 1` of the answer.

    >>> answer_text('hello', 2)
    ' w02cf2 w12cf2'
    """
    return ''.join(token_text(prompt, index) for index in range(first, tokens))


def content_text(content: Any) -> str:
    """Return the text of a message, given as text or as parts."""
    if isinstance(content, str):
        return content
    return ''.join(part.get('text', '') for part in content or ())


def prompt_text(body: dict[str, Any]) -> str:
    """Return the prompt; chat messages are joined by line ends.

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
    """Return the name of each whole block's prefix, shortest first.

    A name is the start of the SHA-256 over all words up to the block's
    end, joined by spaces.

    >>> prefix_hashes('too short')
    []
    """
    words = prompt.split()
    hashes = []
    for end in range(BLOCK_WORDS, len(words) + 1, BLOCK_WORDS):
        digest = hashlib.sha256(' '.join(words[:end]).encode()).hexdigest()
        hashes.append(digest[:BLOCK_HASH_CHARS])
    return hashes
