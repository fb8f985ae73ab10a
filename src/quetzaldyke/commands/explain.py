"""Tells one request's or item's history in sentences."""

from __future__ import annotations

import sys

from quetzaldyke.commands.timeline import gather
from quetzaldyke.process.explain import explain as tell


def explain(
    subject: str,
    *files: str,
    operators_address: str = '',
    operator_key: str = '',
) -> None:
    """Print the history of an id from the live fleet or from log files."""
    name = str(subject)
    events = gather(files, name, operators_address, operator_key)
    sys.stdout.write(tell(name, events))
