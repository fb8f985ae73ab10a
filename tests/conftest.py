"""Pytest configuration: derandomised hypothesis and known failures.

Tests that KNOWN-RED.txt lists are run, but their failure does not fail the
run; the listed tests are printed at its end.

Hypothesis would load its optimiser in the middle of a test. If CPython 3.11
collects garbage while it parses a module, the import can end with a
SystemError, so it is loaded first.
"""

from __future__ import annotations

from pathlib import Path
from typing import Final

import hypothesis.internal.conjecture.optimiser  # noqa: F401
import pytest
from hypothesis import settings

KNOWN_FAILURES_FILE: Final = Path(__file__).parent.parent / 'KNOWN-RED.txt'

settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')


def known_failures() -> list[str]:
    """Return the test ids that KNOWN-RED.txt lists.

    The lines with the details of an entry are indented.
    """
    if not KNOWN_FAILURES_FILE.exists():
        return []
    lines = KNOWN_FAILURES_FILE.read_text(encoding='utf-8').splitlines()
    return [line.strip() for line in lines if line.startswith('tests/')]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests, and no others, as expected failures."""
    listed = set(known_failures())
    for item in items:
        if item.nodeid in listed:
            item.add_marker(
                pytest.mark.xfail(reason='KNOWN-RED.txt', strict=False),
            )


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the listed tests."""
    for name in known_failures():
        terminalreporter.write_line(f'known red: {name}')
