"""HTTP client of the operators' and callers' commands."""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final

import httpcore

from quetzaldyke.process.settings import flag_of, variable_of

REFUSED_STATUS: Final = 1
USAGE_STATUS: Final = 2
UNREACHED_STATUS: Final = 3
ERROR_LIMIT: Final = 400
CONNECT_S: Final = 5.0
DEFAULT_READ_S: Final = 60.0
FAULTS: Final = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


@dataclass(frozen=True, slots=True)
class Answer:
    """Response to one call; status 0 when none came."""

    status: int
    content: bytes

    @property
    def ok(self) -> bool:
        """Tell whether the call was carried out."""
        return 0 < self.status < ERROR_LIMIT

    def document(self) -> dict[str, Any]:
        """Return the JSON object, or one that holds the text."""
        try:
            parsed = json.loads(self.content)
        except ValueError:
            text = self.content.decode(errors='replace')
            return {'error': {'message': text, 'status': self.status}}
        return parsed if isinstance(parsed, dict) else {'data': parsed}


@dataclass(slots=True)
class Client:
    """Connection of one command to one entry."""

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
        read_s: float = DEFAULT_READ_S,
    ) -> Answer:
        """Make one call; a lost answer has status 0."""
        named = {
            'authorization': f'Bearer {self.key}',
            'content-type': 'application/json',
            **(headers or {}),
        }
        timeouts = {
            'connect': CONNECT_S,
            'pool': CONNECT_S,
            'write': DEFAULT_READ_S,
            'read': read_s,
        }
        try:
            response = self.pool.request(
                method,
                f'http://{self.address}{path}',
                headers=list(named.items()),
                content=content,
                extensions={'timeout': timeouts},
            )
        except FAULTS as exc:
            return Answer(0, repr(exc).encode())
        return Answer(response.status, response.content)


def setting(name: str, given: object) -> str:
    """Return a flag or its variable; exits when neither is set."""
    text = str(given) if given else os.environ.get(variable_of(name), '')
    if not text:
        sys.stderr.write(
            f'{flag_of(name)} / {variable_of(name)}: is required\n',
        )
        sys.exit(USAGE_STATUS)
    return text


def operators_client(address: object, key: object) -> Client:
    """Return a client of an entry's operators' listener."""
    return Client(
        setting('operators_address', address),
        setting('operator_key', key),
    )


def callers_client(address: object, key: object) -> Client:
    """Return a client of an entry's callers' listener."""
    return Client(
        setting('callers_address', address),
        setting('caller_key', key),
    )


def finish(answer: Answer) -> None:
    """Print a JSON answer; exit with a status when it is an error."""
    text = json.dumps(answer.document(), indent=2, ensure_ascii=False)
    print(text)
    exit_unless_ok(answer)


def exit_unless_ok(answer: Answer) -> None:
    """Exit with the status that tells refused from not reached."""
    if not answer.ok:
        sys.exit(REFUSED_STATUS if answer.status else UNREACHED_STATUS)
