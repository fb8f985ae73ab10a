"""Tests of odd datagrams, and of odd members that they are sent to."""

from __future__ import annotations

from typing import Final

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from quetzaldyke.gateway.gossip_messages import decode

INFINITE: Final = float('inf')
NOT_A_NUMBER: Final = float('nan')
# Enough zeros to notice that they were allocated, and few enough to survive it.
ZEROS: Final = 1_000


@pytest.mark.parametrize('value', [ZEROS, 0, True, [1, 2], 'text', 1.5, {}])
def test_changed_value_that_is_no_bytes_is_dropped(value: object) -> None:
    """Guards against a datagram of a few bytes that takes all memory.

    bytes() of a number is that many zeros; with 5 * 10**9 the process ended.
    """
    row = ['p', 1, 2, [['k', 2, value]], 0.0]
    assert decode(msgpack.packb(['watch', 's', row])) is None


@pytest.mark.parametrize(
    ('kind', 'content'),
    [
        ('watch', ['p', 1, 2**63, [], 0.0]),
        ('watch', ['p', -1, 2, [], 0.0]),
        ('watch', ['p', 1, 2, [['k', 2**64 - 1, b'']], 0.0]),
        ('watch', ['p', 1, 2, [], NOT_A_NUMBER]),
        ('load', [[['e', -1, 0]], {}, 0, 0.0]),
        ('load', [[['e', 0, 2**60]], {}, 0, 0.0]),
        ('load', [[], {'lm': -1}, 0, 0.0]),
        ('load', [[], {}, -1, 0.0]),
        ('load', [[], {}, 0, NOT_A_NUMBER]),
        ('load', [[], {}, 0, INFINITE]),
        ('crash', [[[[['k', 1]], 'e', False, NOT_A_NUMBER, 's', 0.0]], {}, []]),
        ('crash', [[[[['k', 1]], 'e', False, 0.0, 's', -INFINITE]], {}, []]),
        ('limit_answers', [['e1@0', 1.0, NOT_A_NUMBER, True]]),
        ('permit_grant', [7, 'e1@0', 'b', 1, 1, 0, NOT_A_NUMBER, 0.0]),
    ],
)
def test_number_out_of_range_is_dropped(kind: str, content: object) -> None:
    """Guards against a number that no later step compares or adds up."""
    assert decode(msgpack.packb([kind, 's', content])) is None


@given(
    st.sampled_from(['load', 'watch', 'crash', 'room', 'permit_asks', 'x']),
    st.integers(1, 100_000),
)
def test_deep_nesting_is_dropped(kind: str, depth: int) -> None:
    """Guards against nesting that exceeds the stack of the decoder."""
    head = b'\x93' + msgpack.packb(kind) + msgpack.packb('s')
    message = decode(head + b'\x91' * depth + b'\xc0')
    assert message is None or kind == 'room'
