"""Maps sub-command names to the modules that implement them.

Modules are imported lazily: a sidecar runs next to every endpoint, so its
process must not load libraries that only other commands use.
"""

from __future__ import annotations

import importlib
from collections.abc import Callable
from types import MappingProxyType
from typing import Final

COMMANDS: Final = MappingProxyType(
    {
        'entry': 'daemons:entry',
        'sidecar': 'daemons:sidecar',
        'standin': 'standin:run_standin',
        'config': 'config:CONFIG_COMMANDS',
        'job': 'job:JOB_COMMANDS',
        'timeline': 'timeline:timeline',
        'explain': 'explain:explain',
        'check-settings': 'check_settings:check_settings',
        'demo': 'demo:demo',
        'bench': 'bench:bench',
        'capacity': 'capacity:capacity',
        'startup': 'startup:startup',
    }
)

DAEMONS: Final = frozenset(('entry', 'sidecar'))


def resolve(name: str) -> Callable[..., object]:
    """Import the module of a sub-command and return its callable.

    Raises KeyError for a name that is not in COMMANDS.
    """
    module_name, _, attribute = COMMANDS[name].partition(':')
    module = importlib.import_module(f'quetzaldyke.commands.{module_name}')
    command: Callable[..., object] = getattr(module, attribute)
    return command


def usage() -> str:
    """Return the usage line, which lists the sub-commands."""
    return f'usage: quetzaldyke {{{"|".join(COMMANDS)}}} [--flag value ...]'
