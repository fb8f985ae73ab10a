"""Chooses the headers that are forwarded between callers and endpoints."""

from __future__ import annotations

from typing import Final

from quetzaldyke.gateway.exchange import ResponseHead, connection_options
from quetzaldyke.gateway.online_request import Headers
from quetzaldyke.platform import names

HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        b'connection',
        b'http2-settings',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
    ),
)
# Set by each attempt; the caller's values are dropped.
REPLACED_HEADERS: Final = frozenset(
    (
        names.DEADLINE,
        names.EXPECTED_ENDPOINT,
        names.LAST_EVENT,
        b'content-length',
    ),
)
# The load report is for the gateway only; the content length is computed
# again from the body.
INTERNAL_HEADERS: Final = frozenset((names.LOAD, b'content-length'))


# Forwarded even if they are listed as those of one connection: without them an
# answer proves nothing, and a request has no id.
END_TO_END_HEADERS: Final = frozenset(
    (b'host', b'content-type', names.ATTEMPT_ID, names.SIGNATURE)
)


def request_headers(headers: Headers) -> Headers:
    """Return the headers of a request that are forwarded to an endpoint."""
    return forwarded(headers, REPLACED_HEADERS)


def end_to_end_headers(head: ResponseHead) -> Headers:
    """Return the headers of a response that are forwarded to the caller."""
    return forwarded(head.headers, INTERNAL_HEADERS)


def forwarded(headers: Headers, replaced: frozenset[bytes]) -> Headers:
    """Return headers without those that are replaced or of one connection.

    A connection header lists further headers that concern it alone.
    """
    listed = connection_options(headers) - END_TO_END_HEADERS
    dropped = HOP_BY_HOP_HEADERS | replaced | listed
    return [header for header in headers if header[0] not in dropped]
