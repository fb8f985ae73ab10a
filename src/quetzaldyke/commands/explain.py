"""Describes the history of one request or item in sentences."""

from __future__ import annotations

import sys

from quetzaldyke.commands.timeline import collect_events
from quetzaldyke.process.explain import explain as render_explanation


def explain(
    subject: str,
    *files: str,
    operators_address: str = '',
    operator_key: str = '',
) -> None:
    """Print the history of a request or item id in sentences.

    Events come from log files, and from the live fleet if an address or no
    file is given.
    """
    subject_id = str(subject)
    events = collect_events(files, subject_id, operators_address, operator_key)
    sys.stdout.write(render_explanation(subject_id, events))
