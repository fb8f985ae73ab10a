"""Tests of the endpoint list that several writers share."""

from __future__ import annotations

import json
from typing import Any, Final

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from quetzaldyke.parts.addresses import is_port
from quetzaldyke.platform.records import decode_endpoint

KEY: Final = 'servers/e1'
# Longest reason in a log line, with the number of further faults.
MAX_REASON_CHARS: Final = 220
REGISTRATION: Final[dict[str, Any]] = {
    'service': 'lm',
    'address': '127.0.0.1:80',
    'zone': 'a',
    'slots': 8,
    'state': 'ready',
    'born': 5,
}


def encode(**changes: object) -> bytes:
    """Return a registration in which some fields are replaced."""
    return json.dumps({**REGISTRATION, **changes}).encode()


# Guards against a request that goes to another address, because uvloop cuts a
# port to 16 bits, and against errors of the resolver that nothing handles.
@pytest.mark.parametrize(
    'address',
    [
        '127.0.0.1:99999',
        '127.0.0.1:65536',
        '127.0.0.1:-5',
        '127.0.0.1:0',
        '127.0.0.1:080',
        '127.0.0.1: 80',
        '127.0.0.1:80 ',
        '127.0.0.1:80\n',
        '127.0.0.1:+80',
        '127.0.0.1:8_0',
        '127.0.0.1:\u0663',
        '127.0.0.1:',
        '127.0.0.1',
        '127.0.0.1:' + '9' * 5000,
        '80',
        ':80',
        '::1:80',
        '[::1:80',
        '[x]:80',
        '999.1.1.1:80',
        '1:80',
        '0.0.0.0:80',
        '224.0.0.1:80',
        '..:80',
        'a..b:80',
        '-a:80',
        'a b:80',
        'a\x00:80',
        'a\r\nx:80',
        '\u00e9:80',
        'user@host:80',
        'x' * 64 + ':80',
        'x.' * 200 + 'x:80',
        'x' * 1_000_000 + ':80',
        '',
        None,
        80,
        ['127.0.0.1', 80],
    ],
)
def test_address_that_no_request_can_use_is_refused(address: object) -> None:
    """Guards against an endpoint whose address names no port of a host."""
    decoded = decode_endpoint(KEY, encode(address=address))
    assert isinstance(decoded, Err)
    assert len(decoded.err_value) <= MAX_REASON_CHARS


@pytest.mark.parametrize(
    ('address', 'host', 'port'),
    [
        ('10.1.2.3:65535', '10.1.2.3', 65535),
        ('[fd00::7]:8080', 'fd00::7', 8080),
        ('engine-7.a.example:1', 'engine-7.a.example', 1),
        ('localhost:80', 'localhost', 80),
    ],
)
def test_usual_addresses_are_accepted(
    address: str, host: str, port: int
) -> None:
    """Guards against a check that refuses sound endpoints."""
    decoded = decode_endpoint(KEY, encode(address=address))
    assert isinstance(decoded, Ok)
    assert (decoded.ok_value.host, decoded.ok_value.port) == (host, port)


@pytest.mark.parametrize(
    'change',
    [
        {'slots': 0},
        {'slots': -3},
        {'slots': 10**18},
        {'slots': 10**30},
        {'slots': True},
        {'slots': 8.0},
        {'slots': '8'},
        {'slots': None},
        {'born': -1},
        {'born': 2**63},
        {'born': 1e300},
        {'born': 1.5},
        {'born': True},
        {'service': ''},
        {'service': 'a\nb'},
        {'service': 'x' * 1_000_000},
        {'zone': ''},
        {'zone': 'x' * 1_000_000},
        {'zone': {'a': 1}},
        {'state': ['ready']},
        {'endpoint_id': 'e2', 'slots': None},
    ],
)
def test_field_out_of_its_range_is_refused(change: dict[str, object]) -> None:
    """Guards against an odd entry that gets all requests of a service.

    With a huge number of slots it would look idle for ever.
    """
    decoded = decode_endpoint(KEY, encode(**change))
    assert isinstance(decoded, Err)
    assert len(decoded.err_value) <= MAX_REASON_CHARS


@pytest.mark.parametrize(
    'raw',
    [
        b'',
        b'\xff\xfe',
        b'[]',
        b'null',
        b'7',
        b'"servers"',
        b'[' * 200_000,
        b'{"a":' * 200_000,
        b'{"x":' * 900 + b'1' + b'}' * 900,
        b'{"slots": ' + b'9' * 5_000 + b'}',
        b'{"slots": 1e999}',
        b'{"slots": NaN}',
        b'"\\ud800"',
    ],
)
def test_bytes_that_are_no_registration_are_refused(raw: bytes) -> None:
    """Guards against a record that ends the process that reads the list."""
    decoded = decode_endpoint(KEY, raw)
    assert isinstance(decoded, Err)
    assert len(decoded.err_value) <= MAX_REASON_CHARS


# Guards against an id that adds headers to the requests of an endpoint, which
# carry it.
@pytest.mark.parametrize('name', ['', 'a b', 'a\r\nx: y', '\u00e9', 'x' * 201])
def test_id_that_no_header_can_carry_is_refused(name: str) -> None:
    """Guards against an endpoint id that breaks the request's head."""
    assert isinstance(decode_endpoint(f'servers/{name}', encode()), Err)


def test_record_does_not_choose_its_id() -> None:
    """Guards against a record that poses as another endpoint."""
    decoded = decode_endpoint(KEY, encode(endpoint_id='e2'))
    assert isinstance(decoded, Ok)
    assert decoded.ok_value.endpoint_id == 'e1'


JSON_VALUES: Final = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(-(10**400), 10**400)
    | st.floats()
    | st.text()
    | st.sampled_from(['127.0.0.1:80', '127.0.0.1:99999', 'ready']),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)


@given(st.dictionaries(st.sampled_from(sorted(REGISTRATION)), JSON_VALUES))
def test_any_record_is_decoded_or_refused(changes: dict[str, object]) -> None:
    """Guards against content that raises, or that no request can use."""
    decoded = decode_endpoint(KEY, encode(**changes))
    if isinstance(decoded, Ok):
        assert is_port(decoded.ok_value.port)
        assert decoded.ok_value.host
        assert 0 < decoded.ok_value.slots < 10**6
    else:
        assert len(decoded.err_value) <= MAX_REASON_CHARS


@given(st.binary(max_size=200))
def test_any_bytes_are_decoded_or_refused(raw: bytes) -> None:
    """Guards against bytes that raise an error of another type."""
    assert isinstance(decode_endpoint(KEY, raw), Err)
