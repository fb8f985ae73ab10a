"""HTTP/1.1 connections that are reused only if nothing is left unread.

An endpoint may write an answer a second time, behind the first or later. An
answer names no request here, so a connection on which bytes are left would give
them to its next request.
"""

from __future__ import annotations

import re
from typing import Final

import httpcore

from quetzaldyke.connection.tcp_backend import connect

# Share of the idle timeout that the other end states for which a connection is
# reused; a request sent just at its end would be cut with an unknown outcome.
KEEP_ALIVE_SHARE: Final = 0.6
KEEP_ALIVE_TIMEOUT: Final = re.compile(
    rb'(?:^|,)\s*timeout=([0-9]{1,6})\s*(?:$|,)', re.IGNORECASE
)
# h11 refuses a status below 100 and passes on any number of three digits above.
LAST_STATUS: Final = 599
FRAMING_HEADERS: Final = frozenset((b'content-length', b'transfer-encoding'))


class HttpConnection(httpcore.AsyncHTTP11Connection):
    """A connection that tells whether it may be used again."""

    @property
    def ended_cleanly(self) -> bool:
        """Tell whether the last answer is complete and nothing came after."""
        unread, _ = self._h11_state.trailing_data
        return self.is_idle() and not unread

    @property
    def reusable(self) -> bool:
        """Tell whether this connection may carry another request now.

        It is not if it expired, or if bytes or an end came while it was idle.
        """
        return self.ended_cleanly and not self.has_expired()

    async def handle_async_request(
        self, request: httpcore.Request
    ) -> httpcore.Response:
        """Send a request and return the head of the answer.

        Raises RemoteProtocolError for a status that is none, and for an answer
        with both a length and chunks: nothing tells which of the two ends it.
        """
        response = await super().handle_async_request(request)
        if response.status > LAST_STATUS:
            await self.aclose()
            raise httpcore.RemoteProtocolError(f'status {response.status}')
        named = {name.lower() for name, _ in response.headers}
        if named >= FRAMING_HEADERS:
            await self.aclose()
            raise httpcore.RemoteProtocolError('both a length and chunks')
        self.shorten_expiry(response)
        return response

    def shorten_expiry(self, response: httpcore.Response) -> None:
        """Apply the idle timeout that an answer states, if it is shorter."""
        for name, value in response.headers:
            found = KEEP_ALIVE_TIMEOUT.search(value)
            if name.lower() == b'keep-alive' and found:
                stated_s = KEEP_ALIVE_SHARE * int(found.group(1))
                own_s = self._keepalive_expiry
                self._keepalive_expiry = (
                    stated_s if own_s is None else min(own_s, stated_s)
                )


async def open_connection(
    address: str,
    timeout_s: float | None,
    keepalive_expiry_s: float | None = None,
) -> HttpConnection:
    """Connect to an address; raises ConnectTimeout or ConnectError."""
    host, _, port = address.rpartition(':')
    host = host.strip('[]')
    stream = await connect(host, int(port), timeout_s)
    origin = httpcore.Origin(b'http', host.encode(), int(port))
    return HttpConnection(origin, stream, keepalive_expiry_s)
