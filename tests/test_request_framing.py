"""Tests that nobody disagrees on where a caller's request ends."""

from __future__ import annotations

import asyncio
from typing import Final

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from framing_rig import Caller, read_all

NEXT: Final = b'GET /next? HTTP/1.1\r\nHost: a\r\nAttempt-Id: n\r\n\r\n'
# Bytes of a body that look like a request which nobody sent.
INNER: Final = b'POST /p/bad HTTP/1.1\r\nHost: a\r\nAttempt-Id: bad\r\n\r\n'


def head(*lines: str, start: str = 'POST /p/x?a=%20 HTTP/1.1') -> bytes:
    """Return a head with an id and more lines."""
    return '\r\n'.join(
        [start, 'Host: a', 'Attempt-Id: r', *lines, '', '']
    ).encode('latin-1')


def sized(*lines: str, start: str = 'POST /p/x?a=%20 HTTP/1.1') -> bytes:
    """Return a request with a length whose body looks like a request."""
    return head(*lines, f'Content-Length: {len(INNER)}', start=start) + INNER


def chunked(body: str, *lines: str) -> bytes:
    """Return a request whose body is in chunks."""
    return head('Transfer-Encoding: chunked', *lines) + body.encode('latin-1')


INNER_CHUNK: Final = f'{len(INNER):x}\r\n{INNER.decode()}\r\n'
GET: Final = 'GET /p/x HTTP/1.1'
UPGRADE: Final = 'Connection: Upgrade'

# RFC 9110, 7.8: an offer that is not taken changes nothing.
OFFERS: Final = {
    'h2c': sized(
        'Connection: Upgrade, HTTP2-Settings',
        'Upgrade: h2c',
        'HTTP2-Settings: AAMAAABkAAQAAP__',
    ),
    'websocket': sized(UPGRADE, 'Upgrade: websocket'),
    'unknown protocol': sized(UPGRADE, 'Upgrade: x/1.0'),
    'several': sized(UPGRADE, 'Upgrade: h2c, websocket', 'Upgrade: x'),
    'another case': sized('CONNECTION: uPGRADE', 'UPGRADE: H2C'),
    'empty': sized(UPGRADE, 'Upgrade:'),
    'without Connection': sized('Upgrade: h2c'),
    'Connection alone': sized(UPGRADE),
    'and close': sized('Connection: close, Upgrade', 'Upgrade: h2c'),
    'keep-alive': sized('Connection: keep-alive, upgrade', 'Upgrade: h2c'),
    'without a body': head(UPGRADE, 'Upgrade: h2c', start=GET),
    'chunks': chunked(INNER_CHUNK + '0\r\n\r\n', UPGRADE, 'Upgrade: h2c'),
    'twice': sized(UPGRADE, 'Upgrade: h2c') * 2,
    'HTTP/1.0': sized(UPGRADE, 'Upgrade: h2c', start='POST /x HTTP/1.0'),
    'in trailers': chunked(
        INNER_CHUNK + '0\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n'
    ),
}
SERVED: Final = {
    **OFFERS,
    'length': sized(),
    'length in spaces': head('Content-Length: \t2 ') + b'ab',
    'length 0': head('Content-Length: 0'),
    'no body': head(),
    'GET with a body': sized(start=GET),
    'empty query': sized(start='PUT /p/x? HTTP/1.1'),
    'two question marks': sized(start='PUT /p/x?? HTTP/1.1'),
    'path left encoded': head(start='GET /p/%2e%2E/a%2Fb//;c=d HTTP/1.1'),
    'two slashes': head(start='GET //a/p/x HTTP/1.1'),
    'absolute target': sized(start='PUT http://a/p/x? HTTP/1.1'),
    'absolute target without a path': sized(start='PUT http://a? HTTP/1.1'),
    'absolute asterisk': head(start='OPTIONS http://a HTTP/1.1'),
    'asterisk': head(start='OPTIONS * HTTP/1.1'),
    'empty header': head('X-E:', 'X-F: ', 'X-G: \t b \t'),
    'header bytes': head('X-B: \x80\xff'),
    'Expect': sized('Expect: 100-continue'),
    'Expect, HTTP/1.0': sized('Expect: 100-continue', start='POST /x HTTP/1.0'),
    'other Expect': sized('Expect: 200-ok'),
    'connection option': sized('Connection: X-A', 'X-A: b', 'X-B: c'),
    'option of a needed header': sized('Connection: host, attempt-id'),
    'empty lines in front': b'\r\n\r\n' + head(start=GET),
    'chunks, two': chunked('1\r\na\r\n2\r\nbc\r\n0\r\n\r\n'),
    'chunks, leading zeros': chunked('0001\r\na\r\n000\r\n\r\n'),
    'chunks, upper case': chunked('A\r\n0123456789\r\n0\r\n\r\n'),
    'chunk extension': chunked('1;a=b;c="d;e"\r\na\r\n0;f\r\n\r\n'),
    'coding in capitals': head('TRANSFER-ENCODING: CHUNKED')
    + b'1\r\na\r\n0\r\n\r\n',
    'trailer id': chunked('1\r\na\r\n0\r\nAttempt-Id: bad\r\n\r\n'),
    'trailers': chunked('0\r\nHost: b\r\nX-A: b\r\n\r\n'),
    'trailer closes': chunked('0\r\nConnection: close\r\n\r\n'),
}
# RFC 9112: 2.2, 3, 3.2, 5.1, 5.2, 6.1, 6.3, 7.1; RFC 9110: 7.2, 9.3.6.
REFUSED: Final = {
    'CONNECT': head(start='CONNECT a:80 HTTP/1.1'),
    'CONNECT with an offer': sized(
        UPGRADE, 'Upgrade: h2c', start='CONNECT a:80 HTTP/1.1'
    ),
    'HTTP/2 preface': b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
    'version 2.0': head(start='GET / HTTP/2.0'),
    'version 1.2': head(start='GET / HTTP/1.2'),
    'no version': head(start='GET /'),
    'unknown method': head(start='get / HTTP/1.1'),
    'length and chunks': chunked('0\r\n\r\n', 'Content-Length: 3'),
    'chunks behind a length': head(
        'Content-Length: 3', 'Transfer-Encoding: chunked'
    ),
    'two lengths': head('Content-Length: 1', 'Content-Length: 1') + b'a',
    'list of lengths': head('Content-Length: 1, 1') + b'a',
    'signed length': head('Content-Length: +1') + b'a',
    'length in hexadecimal': head('Content-Length: 0x1') + b'a',
    'empty length': head('Content-Length:'),
    'huge length': head('Content-Length: 18446744073709551617') + b'a',
    'gzip': head('Transfer-Encoding: gzip, chunked') + b'0\r\n\r\n',
    'gzip apart': head('Transfer-Encoding: gzip', 'Transfer-Encoding: chunked')
    + b'0\r\n\r\n',
    'chunked is not last': head('Transfer-Encoding: chunked, gzip'),
    'identity': head('Transfer-Encoding: identity'),
    'chunked twice': head('Transfer-Encoding: chunked, chunked'),
    'empty list member': head('Transfer-Encoding: ,chunked') + b'0\r\n\r\n',
    'coding with a parameter': head('Transfer-Encoding: chunked;a=b'),
    'another word': head('Transfer-Encoding: xchunked') + b'0\r\n\r\n',
    'offer and gzip': head(
        UPGRADE, 'Upgrade: h2c', 'Transfer-Encoding: gzip, chunked'
    )
    + b'0\r\n\r\n',
    'chunks in HTTP/1.0': head(
        'Transfer-Encoding: chunked', start='POST / HTTP/1.0'
    )
    + b'0\r\n\r\n',
    'chunk size 0x': chunked('0x1\r\na\r\n0\r\n\r\n'),
    'chunk size, sign': chunked('+1\r\na\r\n0\r\n\r\n'),
    'chunk size, space': chunked('1 \r\na\r\n0\r\n\r\n'),
    'chunk size, huge': chunked('10000000000000001\r\na\r\n0\r\n\r\n'),
    'chunk size, none': chunked('\r\na\r\n0\r\n\r\n'),
    'chunk extension, line feed': chunked('1;a\nb\r\na\r\n0\r\n\r\n'),
    'chunk extension, return': chunked('1;a\rb\r\na\r\n0\r\n\r\n'),
    'chunk, too long': chunked('1\r\nab\r\n0\r\n\r\n'),
    'chunk, bare line feed': chunked('1\na\r\n0\r\n\r\n'),
    'chunk end, bare line feed': chunked('1\r\na\n0\r\n\r\n'),
    'trailer, bare line feed': chunked('0\r\nX: y\n\r\n'),
    'trailer, length': chunked('0\r\nContent-Length: 9\r\n\r\n'),
    'trailer, coding': chunked('0\r\nTransfer-Encoding: gzip\r\n\r\n'),
    'folded line': head('X-A: b\r\n c'),
    'folded first line': head(start='GET / HTTP/1.1\r\n X: y'),
    'bare line feed': head('X-A: b\nX-B: c'),
    'bare return': head('X-A: b\rX-B: c'),
    'bare line feed at the end': b'GET / HTTP/1.1\r\nHost: a\n\n',
    'space in front of a colon': head('X-A : b'),
    'no colon': head('X-A'),
    'no name': head(': b'),
    'zero byte': head('X-A: b\x00'),
    'two hosts': head('Host: a'),
    'two other hosts': head('Host: b'),
    'host with a path': b'GET / HTTP/1.1\r\nHost: a/b\r\n\r\n',
    'host list': b'GET / HTTP/1.1\r\nHost: a, b\r\n\r\n',
    'absolute target of another host': head(start='GET http://b/ HTTP/1.1'),
    'absolute target with a user': head(start='GET http://u@a/ HTTP/1.1'),
    'other scheme': head(start='GET https://a/ HTTP/1.1'),
    'fragment': head(start='GET /p/x#y HTTP/1.1'),
    'space in a target': head(start='GET /p /x HTTP/1.1'),
    'tab in a target': head(start='GET /p\t/x HTTP/1.1'),
    'asterisk of another method': head(start='GET * HTTP/1.1'),
    'no slash': head(start='GET p/x HTTP/1.1'),
}


def send(data: bytes, cuts: set[int], *, reads_bodies: bool = True) -> Caller:
    """Send bytes cut at some places, and return the caller."""

    async def run() -> Caller:
        caller = Caller()
        caller.reads_bodies = reads_bodies
        ends = sorted({cut for cut in cuts if 0 < cut < len(data)})
        starts = [0, *ends]
        pieces = zip(starts, [*ends, len(data)], strict=True)
        await caller.send([data[start:end] for start, end in pieces])
        return caller

    return asyncio.run(run())


def all_cuts(data: bytes) -> list[set[int]]:
    """Return no cut, cuts behind the heads, and cuts behind each byte."""
    behind_heads = {
        at + 4 for at in range(len(data)) if data[at : at + 4] == b'\r\n\r\n'
    }
    return [set(), behind_heads, set(range(len(data)))]


@pytest.mark.parametrize('name', SERVED)
def test_endpoint_gets_what_the_caller_sent(name: str) -> None:
    """Guards against changed, split or added requests."""
    data = SERVED[name] + NEXT
    expected, sound = read_all(data)
    assert sound
    for cuts in all_cuts(data):
        caller = send(data, cuts)
        received = caller.received()
        last = 'close' in name and len(received) == len(expected) - 1
        assert received == (expected[:-1] if last else expected)
        assert b' 400 ' not in caller.transport.written


@pytest.mark.parametrize('name', REFUSED)
def test_ambiguous_request_is_refused(name: str) -> None:
    """Guards against requests that the next recipient reads differently."""
    data = NEXT + REFUSED[name] + NEXT
    assert not read_all(data)[1]
    for cuts in all_cuts(data):
        caller = send(data, cuts)
        assert caller.received() == read_all(NEXT)[0]
        assert caller.transport.written.count(b'HTTP/1.1 400 ') == 1
        assert caller.transport.closing
        assert sum(caller.state.refused_heads.values()) == 1


@pytest.mark.parametrize(
    'unread',
    [sized(), chunked(INNER_CHUNK + '0\r\n\r\n'), OFFERS['h2c']],
)
def test_request_behind_an_unread_body(unread: bytes) -> None:
    """Guards against an unread body that is taken for the next request."""
    for cuts in all_cuts(unread + NEXT):
        caller = send(unread + NEXT, cuts, reads_bodies=False)
        targets = [message.target for message in caller.received()]
        assert targets == [b'/p/x?a=%20', b'/next?']
        assert caller.transport.written.count(b'HTTP/1.1') == 2


def test_malformed_rest_of_an_unread_body_gets_no_second_answer() -> None:
    """Guards against an error that is taken for the next request's answer."""
    start, rest = chunked('1\r\n'), b'ab\r\n0\r\n\r\n' + NEXT
    caller = send(start + rest, {len(start)}, reads_bodies=False)
    assert caller.transport.closing
    assert caller.transport.written.count(b'HTTP/1.1') == 1
    assert len(caller.forwarded) == 1


def test_body_that_was_not_awaited_ends_the_connection() -> None:
    """Guards against a next request that is read as the missing body.

    A caller that asked for a word before its body may leave the body out.
    """

    async def run() -> Caller:
        caller = Caller()

        async def refuse(scope: object, receive: object, send: object) -> None:
            answer = {'type': 'http.response.start', 'status': 413}
            await caller_send(send, answer)

        caller.connection.app = refuse
        await caller.send([head('Expect: 100-continue', 'Content-Length: 9')])
        return caller

    caller = asyncio.run(run())
    assert caller.transport.closing
    assert b'connection: close' in caller.transport.written


async def caller_send(send: object, answer: dict[str, object]) -> None:
    """Send an answer without a body."""
    assert callable(send)
    await send({**answer, 'headers': [(b'content-length', b'0')]})
    await send({'type': 'http.response.body', 'body': b''})


MESSAGES: Final = st.sampled_from([*SERVED.values(), *REFUSED.values(), NEXT])
CUTS: Final = st.sets(st.integers(0, 900), max_size=12)


@settings(max_examples=200)
@given(st.lists(MESSAGES, min_size=1, max_size=4), CUTS)
def test_sequences_of_requests_at_any_cuts(
    messages: list[bytes], cuts: set[int]
) -> None:
    """Guards against a state of the parser that reaches the next request."""
    check_prefix(b''.join(messages), cuts)


@settings(max_examples=300)
@given(
    st.lists(MESSAGES, min_size=1, max_size=2),
    st.lists(
        st.tuples(
            st.integers(0, 400),
            st.integers(0, 2),
            st.sampled_from(b'\r\n \t\0:;,0aZ/?#*\x80"') | st.integers(0, 255),
        ),
        max_size=3,
    ),
    CUTS,
)
def test_changed_bytes_add_no_request(
    messages: list[bytes], changes: list[tuple[int, int, int]], cuts: set[int]
) -> None:
    """Guards against bytes that only this parser takes for a request."""
    data = b''.join(messages) + NEXT
    for place, removed, byte in changes:
        at = place % len(data)
        data = data[:at] + bytes([byte]) + data[at + removed :]
    check_prefix(data, cuts)


def check_prefix(data: bytes, cuts: set[int]) -> None:
    """Check that an endpoint gets the first requests and nothing else.

    Fewer than there are only if the connection was closed or the next request
    is incomplete.
    """
    expected, _ = read_all(data)
    caller = send(data, cuts)
    received = caller.received()
    assert received == expected[: len(received)]
    assert len(received) == len(expected) or caller.transport.closing
