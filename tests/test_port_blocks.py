"""Tests that runs on one machine use different ports."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import Final

import pytest

from quetzaldyke.commands.port_blocks import (
    BLOCK_PORTS,
    DEFAULT_FIRST_OUTGOING,
    FIRST_PORT,
    PortBlocks,
    bind_alone,
    block_starts,
    first_outgoing_port,
)
from quetzaldyke.commands.process_fleet import child_environment

PORTS_A_RUN: Final = 150
# Prints ports, then keeps its reservation until standard input ends.
RUN: Final = f"""
import os, sys
os.getpid = lambda: 7
from quetzaldyke.commands.process_fleet import free_port
print(*(free_port() for _ in range({PORTS_A_RUN})), flush=True)
sys.stdin.read()
"""


def test_two_runs_get_different_ports() -> None:
    """Guards against children of two runs that listen on the same port.

    Process ids choose the first block that a run tries; here both are alike.
    """
    runs = [
        subprocess.Popen(
            [sys.executable, '-c', RUN],
            env=child_environment(),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(2)
    ]
    ports: list[set[str]] = []
    for run in runs:
        assert run.stdout is not None
        ports.append(set(run.stdout.readline().split()))
    for run in runs:
        run.communicate()
    assert [len(found) for found in ports] == [PORTS_A_RUN] * 2
    assert not ports[0] & ports[1]


def test_block_of_an_ended_run_is_used_again() -> None:
    """Guards against runs that use up all blocks of a machine."""
    first = PortBlocks()
    first.reserve()
    ports = list(first.unused)
    second = PortBlocks()
    second.reserve()
    assert not set(second.unused) & set(ports)
    first.close()
    third = PortBlocks()
    third.reserve()
    assert third.unused == ports
    second.close()
    third.close()


def is_free(port: int) -> bool:
    """Return whether nothing has a port."""
    bound = bind_alone(port)
    if bound is None:
        return False
    bound.close()
    return True


def test_port_in_use_is_not_handed_out() -> None:
    """Guards against the port of a process that reserves no block."""
    blocks = PortBlocks()
    blocks.reserve()
    in_use = blocks.unused[0]
    # Connections of a run that has just ended may still keep ports.
    following = next(port for port in blocks.unused[1:] if is_free(port))
    listener = subprocess.Popen(
        [
            sys.executable,
            '-c',
            'import socket, sys; bound = socket.create_server('
            f'("127.0.0.1", {in_use})); print(flush=True); sys.stdin.read()',
        ],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    assert listener.stdout is not None
    listener.stdout.readline()
    assert blocks.free_port() == following
    listener.communicate()
    blocks.close()


@pytest.mark.parametrize(
    ('text', 'first'),
    [
        ('20000\t60999\n', 20_000),
        ('1024 65535', DEFAULT_FIRST_OUTGOING),
        ('', DEFAULT_FIRST_OUTGOING),
        ('all', DEFAULT_FIRST_OUTGOING),
    ],
)
def test_blocks_are_below_the_ports_of_connections(
    text: str, first: int, tmp_path: Path
) -> None:
    """Guards against an outgoing connection that has a child's port."""
    range_file = tmp_path / 'range'
    assert first_outgoing_port(range_file) == DEFAULT_FIRST_OUTGOING
    range_file.write_text(text)
    assert first_outgoing_port(range_file) == first
    starts = sorted(block_starts(first))
    assert starts[0] == FIRST_PORT
    assert starts[-1] + BLOCK_PORTS <= first
    assert all(start % BLOCK_PORTS == 0 for start in starts)
