"""An entry listens before it loads its modules."""

from __future__ import annotations

import socket
import subprocess
import sys
from typing import Final

import pytest

from gateway_fleet import HOST, SOURCE, free_port
from quetzaldyke.connection.listener import listen

# Modules whose import takes tens of milliseconds on a small instance.
LARGE_MODULES: Final = ('anyio', 'eliot', 'pydantic', 'uvicorn', 'uvloop')
LOADED_AT_START: Final = """
import sys
import quetzaldyke.gateway.__main__
print(','.join(name for name in sys.argv[1:] if name in sys.modules))
"""


def test_nothing_large_is_imported_before_listening() -> None:
    """Callers would be turned away for as long as the import takes."""
    loaded = subprocess.run(
        [sys.executable, '-c', LOADED_AT_START, *LARGE_MODULES],
        env={'PYTHONPATH': SOURCE},
        capture_output=True,
        text=True,
        check=True,
    )
    assert loaded.stdout.strip() == ''


def test_entry_listens_before_it_reads_its_settings() -> None:
    """The address comes as an argument: the settings are checked later."""
    address = f'{HOST}:{free_port()}'
    with listen(address):
        refused = subprocess.run(
            [
                sys.executable,
                '-m',
                'quetzaldyke.gateway',
                'entry',
                address,
                '1',
            ],
            env={'PYTHONPATH': SOURCE},
            capture_output=True,
            text=True,
            check=False,
        )
    assert 'Address already in use' in refused.stderr
    assert refused.returncode == 2


@pytest.mark.parametrize('address', ['nowhere', '127.0.0.1:port', ':70000'])
def test_wrong_address_is_told_without_a_trace(address: str) -> None:
    """Guards against a stack trace in place of the argument's name."""
    refused = subprocess.run(
        [sys.executable, '-m', 'quetzaldyke.gateway', 'entry', address, '1'],
        env={'PYTHONPATH': SOURCE},
        capture_output=True,
        text=True,
        check=False,
    )
    assert refused.returncode == 2
    assert refused.stderr.startswith(f'CALLERS_ADDRESS {address}: ')
    assert 'Traceback' not in refused.stderr


def test_connections_wait_in_the_queue_until_they_are_accepted() -> None:
    """A caller that connects during the start is not turned away."""
    port = free_port()
    with listen(f'{HOST}:{port}') as listener:
        with socket.create_connection((HOST, port), timeout=1) as caller:
            caller.sendall(b'x')
            accepted, _ = listener.accept()
            with accepted:
                accepted.settimeout(1)
                assert accepted.recv(1) == b'x'
