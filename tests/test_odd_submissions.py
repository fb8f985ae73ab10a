"""Tests of submitted jobs with odd items."""

from __future__ import annotations

import json
from typing import Any, Final

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from gateway_kit import make_route
from quetzaldyke.gateway.job_records import JobRecord
from quetzaldyke.gateway.new_job import make_job
from quetzaldyke.platform.jobs import decode_submission

ITEM: Final[dict[str, Any]] = {
    'id': 'i',
    'path': '/p/x',
    'headers': {'Model': 'm', 'X-Note': 'caf\u00e9\t1'},
    'body': 'aGk=',
    'tokens': 9,
}


def encode(**changes: object) -> bytes:
    """Return a submission of one item in which some fields are replaced."""
    return json.dumps({'items': [{**ITEM, **changes}]}).encode()


def test_usual_item_is_accepted() -> None:
    """Guards against a check that refuses sound items."""
    decoded = decode_submission(encode())
    assert isinstance(decoded, Ok)
    assert decoded.ok_value[0].headers[1] == ('X-Note', 'caf\u00e9\t1')


@pytest.mark.parametrize(
    'change',
    [
        {'path': '/p HTTP/1.1\r\nhost: h\r\n\r\nGET /other'},
        {'path': '/p\nx: y'},
        {'path': '/p x'},
        {'path': 'p'},
        {'path': ''},
        {'path': '/\u20ac'},
        {'id': 'i\r\nx: y'},
        {'id': ''},
        {'id': '\u20ac'},
        {'headers': {'a\r\nb': 'c'}},
        {'headers': {'a:b': 'c'}},
        {'headers': {'': 'c'}},
        {'headers': {'a': 'b\r\nx: y'}},
        {'headers': {'a': 'b\n'}},
        {'headers': {'a': 'b\0'}},
        {'headers': {'a': '\u20ac'}},
        {'headers': {'\u00e9': 'a'}},
    ],
)
def test_item_that_breaks_a_request_head_is_refused(
    change: dict[str, object],
) -> None:
    """Guards against an item that puts a second request on a connection.

    The endpoint's second answer would reach the next request there. Texts
    that no head can carry would fail each run of the item.
    """
    assert isinstance(decode_submission(encode(**change)), Err)


@pytest.mark.parametrize(
    'raw',
    [
        encode(tokens=-5),
        encode(tokens=10**18),
        encode(tokens=10**30),
        encode(tokens='9' * 4_000),
        encode(tokens='9' * 5_000),
        encode(tokens=float('nan')),
        encode(tokens=1.5),
        b'{"items":' + b'[' * 200_000,
        b'{"items":[{"tokens":' + b'9' * 5_000 + b'}]}',
    ],
)
def test_odd_number_of_tokens_is_refused(raw: bytes) -> None:
    """Guards against a job that the store's record can't hold."""
    decoded = decode_submission(raw)
    assert isinstance(decoded, Err)
    assert len(decoded.err_value) <= 220


VALUES: Final = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)


@given(st.dictionaries(st.sampled_from(sorted(ITEM)), VALUES))
def test_accepted_items_survive_their_record(
    changes: dict[str, object],
) -> None:
    """Guards against items that are accepted and can't be stored or read."""
    decoded = decode_submission(encode(**changes))
    if isinstance(decoded, Ok):
        job = make_job('j', make_route('batch'), decoded.ok_value)
        assert JobRecord.unpack(job.record.pack()) == job.record
