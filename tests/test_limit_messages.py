"""Tests of the messages about limits."""

from __future__ import annotations

import math

import msgpack
import pytest

from quetzaldyke.gateway.endpoint_limits import LimitAnswer
from quetzaldyke.gateway.gossip_messages import decode, encode
from quetzaldyke.gateway.limit_messages import (
    LimitAnswers,
    LimitMessage,
    LimitUpdate,
    PermitAsk,
    PermitAsks,
    PermitGrant,
    PermitOffer,
    PermitReturn,
)
from quetzaldyke.parts.shared_rate import Grant


@pytest.mark.parametrize(
    'message',
    [
        LimitAnswers(
            'a',
            (
                LimitAnswer('e1@0', 2.5, 0.1, permitted=True),
                LimitAnswer('e2@0', None, 0.1, permitted=False),
            ),
        ),
        LimitUpdate('a', {'e1@0': 2.0, 'e2@0': None}),
        PermitAsks('a', (PermitAsk('e1@0', 3, 1, 2, 0, 0.5),)),
        PermitGrant('a', 'e1@0', Grant('b', 3, 1, 0, 0.5, 2.0), 7),
        PermitGrant('a', 'e1@0', Grant('b', 3, 0, 0, math.inf, math.inf), 7),
        PermitOffer('a', 'e1@0'),
        PermitReturn('a', {'e1@0': 2}, 8),
    ],
)
def test_messages_survive_their_encoding(message: LimitMessage) -> None:
    """Guards against fields that are lost or swapped on the way."""
    assert decode(encode(message)) == message


@pytest.mark.parametrize(
    ('kind', 'content'),
    [
        ('limit_answers', [['e1@0', float('nan'), 0.1, True]]),
        ('limit_answers', 5),
        ('limit_update', {'e1@0': -1.0}),
        ('limit_update', {'e1@0': float('inf')}),
        ('limit_update', [1]),
        ('permit_asks', [['e1@0', 1, 1_000_000_000, 0, 0, 1.0]]),
        ('permit_asks', [['e1@0', 1, 1, 0, 0, None]]),
        ('permit_grant', [7, 'e1@0', 'b', 1, 1_000_000_000, 0, 0.0, 0.0]),
        ('permit_grant', [7, 'e1@0', 'b', 1, -1, 0, 0.0, 0.0]),
        ('permit_grant', ['x', 'e1@0', 'b', 1, 1, 0, 0.0, 0.0]),
        ('permit_return', [8, {'e1@0': -5}]),
        ('permit_return', {'e1@0': 5}),
        ('permit_return', None),
    ],
)
def test_malformed_messages_are_dropped(kind: str, content: object) -> None:
    """Guards against a datagram that ends a process or lifts a limit."""
    assert decode(msgpack.packb([kind, 'a', content])) is None
