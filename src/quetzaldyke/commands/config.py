"""Commands that read and change the configuration through an entry."""

from __future__ import annotations

import json
import sys
import time
import uuid
from pathlib import Path
from typing import Any, Final
from urllib.parse import urlencode

from quetzaldyke.commands.http_client import (
    EXIT_REFUSED,
    EXIT_USAGE,
    Response,
    Client,
    exit_on_error,
    print_response,
    operators_client,
)

MAX_ATTEMPTS: Final = 5
RETRY_DELAY_S: Final = 0.5
READ_TIMEOUT_MARGIN_S: Final = 10.0
UNAVAILABLE_STATUS: Final = 503


def get(operators_address: str = '', operator_key: str = '') -> None:
    """Print the configuration that an entry currently applies."""
    client = operators_client(operators_address, operator_key)
    print_response(client.call('GET', '/config'))


def history(operators_address: str = '', operator_key: str = '') -> None:
    """Print the most recently accepted patches."""
    client = operators_client(operators_address, operator_key)
    print_response(client.call('GET', '/config/history'))


def patch(
    patch: Any = None,
    file: str = '',
    base_version: int = -1,
    patch_id: str = '',
    operators_address: str = '',
    operator_key: str = '',
) -> None:
    """Submit a JSON Patch, given as text or in a file.

    While the outcome is unknown, the patch is retried under the same id, so
    that it is applied at most once. `base_version` defaults to the version
    that the entry currently applies.
    """
    client = operators_client(operators_address, operator_key)
    operations = read_operations(patch, file)
    if base_version < 0:
        base_version = current_version(client)
    body = {
        'base_version': base_version,
        'patch_id': str(patch_id or uuid.uuid4()),
        'patch': operations,
    }
    sys.stderr.write(f'patch id {body["patch_id"]}, base {base_version}\n')
    print_response(submit_with_retries(client, json.dumps(body).encode()))


def read_operations(given: Any, file: str) -> list[dict[str, Any]]:
    """Return the patch operations; exit with 2 if they are not a list."""
    if file:
        given = Path(file).read_text()
    # fire already converts an argument that is a list literal to a list.
    operations = json.loads(given) if isinstance(given, str) else given
    if not isinstance(operations, list):
        sys.stderr.write('--patch / --file: must be a JSON Patch (a list)\n')
        sys.exit(EXIT_USAGE)
    return operations


def current_version(client: Client) -> int:
    """Return the version that the entry applies; exit on an error."""
    response = client.call('GET', '/config')
    if not response.ok:
        print_response(response)
    return int(response.document()['version'])


def submit_with_retries(
    client: Client,
    content: bytes,
    delay_s: float = RETRY_DELAY_S,
) -> Response:
    """Send a patch until its outcome is known, at most MAX_ATTEMPTS times.

    A lost response and a 503 leave the outcome unknown. Returns the last
    response.
    """
    response = client.call('POST', '/config/patches', content)
    for _ in range(MAX_ATTEMPTS - 1):
        if response.status not in {0, UNAVAILABLE_STATUS}:
            break
        time.sleep(delay_s)
        response = client.call('POST', '/config/patches', content)
    return response


def wait(
    version: int = -1,
    timeout_s: float = 30,
    operators_address: str = '',
    operator_key: str = '',
) -> None:
    """Wait until every live process has reported a configuration version.

    On a timeout, exits with 1 and lists the processes that are behind.
    `version` defaults to the one that the entry currently applies.
    """
    client = operators_client(operators_address, operator_key)
    if version < 0:
        version = current_version(client)
    query = urlencode({'version': version, 'timeout_s': timeout_s})
    response = client.call(
        'GET',
        f'/config/wait?{query}',
        read_timeout_s=timeout_s + READ_TIMEOUT_MARGIN_S,
    )
    print(json.dumps(response.document(), indent=2))
    exit_on_error(response)
    if not response.document()['everywhere']:
        sys.exit(EXIT_REFUSED)


CONFIG_COMMANDS: Final = {
    'get': get,
    'patch': patch,
    'wait': wait,
    'history': history,
}
