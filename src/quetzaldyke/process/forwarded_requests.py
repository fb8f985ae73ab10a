"""Chooses what of a caller's request is forwarded to its endpoint."""

from __future__ import annotations

from typing import Final

from starlette.requests import Request
from starlette.types import Scope

from quetzaldyke.connection.strict_connection import request_target

SERVICES_PREFIX: Final = '/services/'
# Hop-by-hop headers, the caller's credentials, which no endpoint needs, and
# options for the entry alone.
UNFORWARDED_HEADERS: Final = frozenset(
    (
        'authorization',
        'connection',
        'content-length',
        'expect',
        'host',
        'http2-settings',
        'keep-alive',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-idempotent',
        'x-request-timeout-ms',
    ),
)


def forwarded_headers(http: Request) -> dict[str, str]:
    """Return the headers that are forwarded to the endpoint.

    Left out are those that the caller lists as concerning one connection.
    """
    options = ','.join(http.headers.getlist('connection')).lower().split(',')
    listed = {option.strip() for option in options} - {'content-type'}
    return {
        name: content
        for name, content in http.headers.items()
        if name not in UNFORWARDED_HEADERS and name not in listed
    }


def service_path(scope: Scope, pool: str) -> str | None:
    """Return the encoded path and query for a service, without prefix.

    Returns None if the name of the service is encoded: its end is then not
    where the decoded path has it.
    """
    path, mark, query = request_target(scope).decode('ascii').partition('?')
    prefix = f'{SERVICES_PREFIX}{pool}'
    rest = path.removeprefix(prefix)
    if not path.startswith(prefix) or (rest and not rest.startswith('/')):
        return None
    return f'{rest or "/"}{mark}{query}'
