"""Table of the sub-commands."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

COMMANDS: Final[dict[str, Callable[..., object]]] = {}
