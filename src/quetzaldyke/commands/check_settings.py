"""Validates a role's settings and reports all errors at once."""

from __future__ import annotations

import os
import sys
from collections.abc import Mapping, Sequence
from typing import Final

from result import Err

from quetzaldyke.commands.daemons import parse_flags
from quetzaldyke.parts.errors import Errors
from quetzaldyke.process.settings import (
    ENV_PREFIX,
    EntrySettings,
    ProcessSettings,
    SidecarSettings,
    load_settings,
    variable_of,
)

EXIT_INVALID_SETTINGS: Final = 2
ROLES: Final[dict[str, type[ProcessSettings]]] = {
    'entry': EntrySettings,
    'sidecar': SidecarSettings,
}
# Environment variables that commands read and that are not role settings.
COMMAND_VARIABLES: Final = frozenset((variable_of('caller_key'),))


def check_role(
    role: str,
    flags: Mapping[str, object],
    environ: Mapping[str, str],
) -> Errors:
    """Return all errors in a role's settings.

    An environment variable that no role knows is an error, because a
    misspelt variable would otherwise silently leave the default in effect.
    """
    errors = Errors()
    if role not in ROLES:
        errors.add('ROLE', f'must be one of {", ".join(ROLES)}')
        return errors
    loaded = load_settings(ROLES[role], flags, environ)
    if isinstance(loaded, Err):
        errors.findings.extend(loaded.err_value.findings)
    known_variables = {
        variable_of(name)
        for model in ROLES.values()
        for name in model.model_fields
    }
    for variable in sorted(environ):
        if not variable.startswith(ENV_PREFIX):
            continue
        if (
            variable not in known_variables
            and variable not in COMMAND_VARIABLES
        ):
            errors.add(variable, 'is not a known setting')
    return errors


def check(arguments: Sequence[str], environ: Mapping[str, str]) -> Errors:
    """Validate a command line that consists of a role and its flags."""
    role, *flags = arguments or ['']
    return check_role(role, parse_flags(flags), environ)


def check_settings(*_arguments: str, **_flags: object) -> None:
    """Print all errors with their flag and variable; exit with 2 on any.

    Reads sys.argv, because fire converts strings that look like numbers to
    numbers.
    """
    errors = check(sys.argv[2:], os.environ)
    if errors.found:
        sys.stderr.write(f'{errors.render()}\n')
        sys.exit(EXIT_INVALID_SETTINGS)
    print('ok')
