"""Tests of the numbers that callers and operators send as text."""

from __future__ import annotations

from typing import Final, cast
from unittest import mock

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st
from starlette.datastructures import Headers
from starlette.requests import Request

from quetzaldyke.gateway.received_request import query_number
from quetzaldyke.gateway.received_request import ReceivedRequest
from quetzaldyke.parts.decimals import MAX_DECIMAL, parse_decimal
from quetzaldyke.platform.jobs import encode_results
from quetzaldyke.process.batches_http import LIST_LIMIT, parse_limit
from quetzaldyke.process.callers_http import read_timeout_ms
from quetzaldyke.process.callers_middleware import read_limited
from quetzaldyke.process.operators_http import number_parameter

pytestmark = pytest.mark.anyio

# int() raises for more than 4,300 digits, and no float holds 400 of them.
LONG: Final = ('9' * 400, '9' * 5_000)
NO_NUMBERS: Final = (
    '',
    '-1',
    '+1',
    '1_0',
    ' 1',
    '1.5',
    '\u0663',
    '\u00b2',
    'x',
)


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio only."""
    return 'asyncio'


def request_with(text: str) -> ReceivedRequest:
    """Return a request with a deadline header."""
    headers = [(b'deadline-ms', text.encode())]
    return ReceivedRequest(b'GET', b'/', '/', b'', 'h', headers, b'')


@pytest.mark.parametrize('text', LONG)
def test_long_number_of_a_caller_is_cut(text: str) -> None:
    """Guards against a header of digits that breaks the caller's answer."""
    number = request_with(text).number(b'deadline-ms')
    assert number is not None
    assert number / 1000 > 10**9
    after = query_number(f'after={text}'.encode(), 'after')
    assert orjson.loads(encode_results(3, after, []))['next'] == after


@pytest.mark.parametrize('text', NO_NUMBERS)
def test_text_that_is_no_number_is_ignored(text: str) -> None:
    """Guards against texts that only int() takes for numbers."""
    assert request_with(text).number(b'deadline-ms') is None
    assert query_number(b'after=\xb2', 'after') == 0


@pytest.mark.parametrize('text', [*LONG, *NO_NUMBERS, '0'])
def test_odd_timeout_is_refused(text: str) -> None:
    """Guards against a status 500 for an odd timeout."""
    assert read_timeout_ms(text, 5).is_err()


@pytest.mark.parametrize('text', [*LONG, *NO_NUMBERS])
def test_odd_limit_is_the_largest(text: str) -> None:
    """Guards against a status 500 for an odd number of rows."""
    assert parse_limit(text) == LIST_LIMIT


@pytest.mark.parametrize('text', LONG)
async def test_long_content_length_is_too_large(text: str) -> None:
    """Guards against a status 500 for a huge length, and its body in memory."""
    receive = mock.AsyncMock(return_value={'type': 'http.disconnect'})
    body = await read_limited(receive, Headers({'content-length': text}), 10)
    assert body.is_err()
    assert not receive.await_count


@pytest.mark.parametrize('text', ['nan', 'inf', '-inf', '1e999', 'x'])
def test_parameter_that_is_not_finite_is_refused(text: str) -> None:
    """Guards against a status 500 for an infinite version or limit."""
    request = cast('Request', mock.Mock(query_params={'limit': text}))
    assert number_parameter(request, 'limit', 5) is None


@given(st.text() | st.binary(), st.integers(1, MAX_DECIMAL))
def test_any_text_is_a_number_in_range_or_none(
    text: str | bytes, maximum: int
) -> None:
    """Guards against text that raises an error."""
    number = parse_decimal(text, maximum)
    assert number is None or 0 <= number <= maximum


@given(st.integers(0, MAX_DECIMAL))
def test_numbers_in_range_keep_their_value(number: int) -> None:
    """Guards against usual numbers that are cut."""
    assert parse_decimal(str(number)) == number
    assert parse_decimal(f'000{number}'.encode()) == number
