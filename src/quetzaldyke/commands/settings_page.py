"""Generates docs/operations/settings.md from the settings models."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from pydantic_core import PydanticUndefined

from quetzaldyke.process.settings import (
    EntrySettings,
    ProcessSettings,
    SidecarSettings,
    flag_of,
    variable_of,
)

HEADING: Final = """\
# Settings

Made from the settings models by `python -m quetzaldyke.commands.settings_page`;
a test compares the two. A flag wins over its variable. Secrets belong into
variables, because flags can be seen in the list of processes. Addresses are
`IP:PORT` with an IP number. `quetzaldyke check-settings ROLE` reports every
finding of a role's settings at once.
"""


def rows(model: type[ProcessSettings]) -> Iterator[str]:
    """Yield one table row for each setting of a role."""
    for name, field in model.model_fields.items():
        default = field.default
        shown = 'required' if default is PydanticUndefined else f'`{default}`'
        yield (
            f'| `{flag_of(name)}` | `{variable_of(name)}` '
            f'| {shown} | {field.description} |'
        )


def section(title: str, model: type[ProcessSettings]) -> str:
    """Return the section with a role's settings table."""
    lines = [
        f'## {title}',
        '',
        '| flag | variable | default | meaning |',
        '| --- | --- | --- | --- |',
        *rows(model),
        '',
    ]
    return '\n'.join(lines)


def render() -> str:
    """Return the page as Markdown."""
    return '\n'.join(
        (
            HEADING,
            section('entry', EntrySettings),
            section('sidecar', SidecarSettings),
        )
    )


if __name__ == '__main__':
    print(render(), end='')
