"""Decodes the ids and parameters of requests about jobs."""

from __future__ import annotations

from urllib.parse import parse_qs, unquote

from quetzaldyke.parts.decimals import parse_decimal


def decode_id(text: str) -> str:
    """Return the id in a path, where callers may have to encode characters.

    >>> decode_id('a%2Fb'), decode_id('a/b')
    ('a/b', 'a/b')
    """
    return unquote(text, 'latin-1')


def query_text(query: bytes, name: str) -> str:
    """Return a parameter of a query string, empty when it is missing.

    >>> query_text(b'id=a%2Fb', 'id')
    'a/b'
    """
    values = parse_qs(query.decode('latin-1')).get(name, [''])
    return values[0]


def query_number(query: bytes, name: str) -> int:
    """Return a numeric parameter, 0 when it is missing or no number."""
    return parse_decimal(query_text(query, name)) or 0
