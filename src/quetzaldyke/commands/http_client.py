"""HTTP client for the operators' and callers' commands."""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final

import httpcore

from quetzaldyke.process.settings import flag_of, variable_of

EXIT_REFUSED: Final = 1
EXIT_USAGE: Final = 2
EXIT_UNREACHABLE: Final = 3
FIRST_ERROR_STATUS: Final = 400
CONNECT_TIMEOUT_S: Final = 5.0
DEFAULT_READ_TIMEOUT_S: Final = 60.0
TRANSPORT_ERRORS: Final = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


@dataclass(frozen=True, slots=True)
class Response:
    """Response to one request; status 0 if none was received."""

    status: int
    content: bytes

    @property
    def ok(self) -> bool:
        """Return whether the status reports success."""
        return 0 < self.status < FIRST_ERROR_STATUS

    def document(self) -> dict[str, Any]:
        """Return the body as a JSON object.

        Other JSON is wrapped under `data`, and text under `error`.
        """
        try:
            parsed = json.loads(self.content)
        except ValueError:
            text = self.content.decode(errors='replace')
            return {'error': {'message': text, 'status': self.status}}
        return parsed if isinstance(parsed, dict) else {'data': parsed}


@dataclass(slots=True)
class Client:
    """Client of one listener of an entry."""

    address: str
    key: str
    pool: httpcore.ConnectionPool = field(
        default_factory=httpcore.ConnectionPool,
    )

    def call(
        self,
        method: str,
        path: str,
        content: bytes = b'',
        headers: Mapping[str, str] | None = None,
        read_timeout_s: float = DEFAULT_READ_TIMEOUT_S,
    ) -> Response:
        """Send a request; on a transport error return status 0."""
        all_headers = {
            'authorization': f'Bearer {self.key}',
            'content-type': 'application/json',
            **(headers or {}),
        }
        timeouts = {
            'connect': CONNECT_TIMEOUT_S,
            'pool': CONNECT_TIMEOUT_S,
            'write': DEFAULT_READ_TIMEOUT_S,
            'read': read_timeout_s,
        }
        try:
            response = self.pool.request(
                method,
                f'http://{self.address}{path}',
                headers=list(all_headers.items()),
                content=content,
                extensions={'timeout': timeouts},
            )
        except TRANSPORT_ERRORS as exc:
            return Response(0, repr(exc).encode())
        return Response(response.status, response.content)


def required_setting(name: str, given: object) -> str:
    """Return a flag or its variable; exit with 2 if neither is set."""
    text = str(given) if given else os.environ.get(variable_of(name), '')
    if not text:
        sys.stderr.write(
            f'{flag_of(name)} / {variable_of(name)}: is required\n',
        )
        sys.exit(EXIT_USAGE)
    return text


def operators_client(address: object, key: object) -> Client:
    """Return a client of an entry's operators' listener."""
    return Client(
        required_setting('operators_address', address),
        required_setting('operator_key', key),
    )


def callers_client(address: object, key: object) -> Client:
    """Return a client of an entry's callers' listener."""
    return Client(
        required_setting('callers_address', address),
        required_setting('caller_key', key),
    )


def print_response(response: Response) -> None:
    """Print a response as JSON; exit with an error status if it failed."""
    text = json.dumps(response.document(), indent=2, ensure_ascii=False)
    print(text)
    exit_on_error(response)


def exit_on_error(response: Response) -> None:
    """Exit if the request failed.

    The exit status is 1 if the entry refused it and 3 if no response came.
    """
    if not response.ok:
        sys.exit(EXIT_REFUSED if response.status else EXIT_UNREACHABLE)
