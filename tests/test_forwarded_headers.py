"""Tests of the headers that are forwarded between callers and endpoints."""

from __future__ import annotations

import pytest

from quetzaldyke.gateway.exchange import ResponseHead
from quetzaldyke.gateway.forwarded_headers import (
    end_to_end_headers,
    request_headers,
)

PROOF = [(b'attempt-id', b'r1'), (b'response-signature', b's')]


# Guards against a caller that applies a header of the endpoint's connection to
# its own one, and so takes the end of its answer elsewhere.
@pytest.mark.parametrize(
    'headers',
    [
        [(b'connection', b'close')],
        [(b'connection', b'X-Hop, close'), (b'x-hop', b'1')],
        [(b'connection', b'a'), (b'connection', b'x-hop'), (b'x-hop', b'1')],
        [(b'keep-alive', b'timeout=1'), (b'transfer-encoding', b'chunked')],
        [(b'content-length', b'7'), (b'trailer', b'x'), (b'upgrade', b'x')],
    ],
)
def test_headers_of_the_endpoints_connection_stay_there(
    headers: list[tuple[bytes, bytes]],
) -> None:
    """Only the headers that are not of one connection reach the other."""
    assert end_to_end_headers(ResponseHead(200, [*headers, *PROOF])) == PROOF
    assert request_headers([*headers, *PROOF]) == PROOF


def test_listed_proof_is_still_forwarded() -> None:
    """Guards against losing the proof to an endpoint that lists its header."""
    listed = (b'connection', b'Response-Signature, Attempt-Id')
    assert end_to_end_headers(ResponseHead(200, [listed, *PROOF])) == PROOF


@pytest.mark.parametrize('content', [b'close', b'Close', b'x-hop, close'])
def test_close_is_found_among_the_options(content: bytes) -> None:
    """Guards against reusing a connection that its endpoint closes."""
    assert ResponseHead(200, [(b'connection', content)]).closes
