"""Entry point of the executable: hands the sub-commands to fire."""

from __future__ import annotations

import fire

from quetzaldyke.commands.table import COMMANDS


def main() -> None:
    """Run the sub-command that the arguments name."""
    fire.Fire(COMMANDS, name='quetzaldyke')
