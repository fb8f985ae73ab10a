"""Reads and changes the configuration through an entry."""

from __future__ import annotations

import json
import sys
import time
import uuid
from pathlib import Path
from typing import Any, Final
from urllib.parse import urlencode

from quetzaldyke.commands.http_client import (
    REFUSED_STATUS,
    USAGE_STATUS,
    Answer,
    Client,
    exit_unless_ok,
    finish,
    operators_client,
)

MAX_SENDS: Final = 5
RESEND_PAUSE_S: Final = 0.5
READ_MARGIN_S: Final = 10.0
UNAVAILABLE: Final = 503


def get(operators_address: str = '', operator_key: str = '') -> None:
    """Print the configuration in force at an entry."""
    client = operators_client(operators_address, operator_key)
    finish(client.call('GET', '/config'))


def history(operators_address: str = '', operator_key: str = '') -> None:
    """Print the latest patches."""
    client = operators_client(operators_address, operator_key)
    finish(client.call('GET', '/config/history'))


def patch(
    patch: Any = None,
    file: str = '',
    base_version: int = -1,
    patch_id: str = '',
    operators_address: str = '',
    operator_key: str = '',
) -> None:
    """Submit a JSON Patch, given as text or in a file.

    It is sent again under the same id while its outcome is unknown. The
    base is the version in force at the entry unless one is given.
    """
    client = operators_client(operators_address, operator_key)
    operations = read_operations(patch, file)
    if base_version < 0:
        base_version = present_version(client)
    body = {
        'base_version': base_version,
        'patch_id': str(patch_id or uuid.uuid4()),
        'patch': operations,
    }
    sys.stderr.write(f'patch id {body["patch_id"]}, base {base_version}\n')
    finish(send_until_known(client, json.dumps(body).encode()))


def read_operations(given: Any, file: str) -> list[dict[str, Any]]:
    """Return the operations; exits when they are not a list."""
    if file:
        given = Path(file).read_text()
    # The command line turns a text that is a list into a list.
    operations = json.loads(given) if isinstance(given, str) else given
    if not isinstance(operations, list):
        sys.stderr.write('--patch / --file: must be a JSON Patch, a list\n')
        sys.exit(USAGE_STATUS)
    return operations


def present_version(client: Client) -> int:
    """Return the version in force at the entry."""
    answer = client.call('GET', '/config')
    if not answer.ok:
        finish(answer)
    return int(answer.document()['version'])


def send_until_known(
    client: Client,
    content: bytes,
    pause_s: float = RESEND_PAUSE_S,
) -> Answer:
    """Send a patch until its outcome is known, at most MAX_SENDS times."""
    answer = client.call('POST', '/config/patches', content)
    for _ in range(MAX_SENDS - 1):
        if answer.status not in {0, UNAVAILABLE}:
            break
        time.sleep(pause_s)
        answer = client.call('POST', '/config/patches', content)
    return answer


def wait(
    version: int = -1,
    timeout_s: float = 30,
    operators_address: str = '',
    operator_key: str = '',
) -> None:
    """Wait until every live process has reported a version.

    Exits with 1 and names the processes that lack it at the time-out.
    """
    client = operators_client(operators_address, operator_key)
    if version < 0:
        version = present_version(client)
    query = urlencode({'version': version, 'timeout_s': timeout_s})
    answer = client.call(
        'GET',
        f'/config/wait?{query}',
        read_s=timeout_s + READ_MARGIN_S,
    )
    print(json.dumps(answer.document(), indent=2))
    exit_unless_ok(answer)
    if not answer.document()['everywhere']:
        sys.exit(REFUSED_STATUS)


CONFIG_COMMANDS: Final = {
    'get': get,
    'patch': patch,
    'wait': wait,
    'history': history,
}
