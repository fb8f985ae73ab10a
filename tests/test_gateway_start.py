"""Tests of the start of an entry, which listens before it loads modules."""

from __future__ import annotations

import socket
import subprocess
import sys
from typing import Final

import pytest

from gateway_fleet import SOURCE
from quetzaldyke.commands.port_blocks import HOST, free_port
from quetzaldyke.connection.listener import listen

# Modules whose import takes tens of milliseconds on a small instance.
LARGE_MODULES: Final = ('anyio', 'eliot', 'pydantic', 'uvicorn', 'uvloop')
LOADED_MODULES_SCRIPT: Final = """
import sys
import quetzaldyke.gateway.__main__
print(','.join(name for name in sys.argv[1:] if name in sys.modules))
"""


def test_no_large_module_is_imported_before_listening() -> None:
    """Guards against connections refused for as long as the import takes."""
    loaded = subprocess.run(
        [sys.executable, '-c', LOADED_MODULES_SCRIPT, *LARGE_MODULES],
        env={'PYTHONPATH': SOURCE},
        capture_output=True,
        text=True,
        check=True,
    )
    assert loaded.stdout.strip() == ''


def test_entry_listens_before_it_reads_its_settings() -> None:
    """Guards against settings that are read before the listener is open.

    An address in use is reported although there is no settings file.
    """
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
def test_invalid_address_is_reported_without_a_traceback(address: str) -> None:
    """Guards against a traceback in place of the argument's name."""
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


def test_connections_are_queued_until_they_are_accepted() -> None:
    """Guards against refusing a caller that connects during the start."""
    port = free_port()
    with listen(f'{HOST}:{port}') as listener:
        with socket.create_connection((HOST, port), timeout=1) as caller:
            caller.sendall(b'x')
            accepted, _ = listener.accept()
            with accepted:
                accepted.settimeout(1)
                assert accepted.recv(1) == b'x'
