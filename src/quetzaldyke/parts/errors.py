"""Collects findings with their place, so that they are reported together.

Checks add every finding to one collector and go on; the caller decides at
the end whether to stop. An operator then sees all mistakes at once.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True, order=True)
class Finding:
    """One mistake and the flag, field or line that holds it."""

    place: str
    message: str

    def __str__(self) -> str:
        """Return the form that is printed to operators."""
        return f'{self.place}: {self.message}'


@dataclass(slots=True)
class Errors:
    """Collector of findings.

    >>> errors = Errors()
    >>> errors.add('--peer-port', 'must be between 1 and 65535')
    >>> errors.found
    True
    >>> print(errors.render())
    --peer-port: must be between 1 and 65535
    """

    findings: list[Finding] = field(default_factory=list)

    @property
    def found(self) -> bool:
        """Tell whether anything was reported."""
        return bool(self.findings)

    def add(self, place: str, message: str) -> None:
        """Record one finding."""
        self.findings.append(Finding(place, message))

    def render(self) -> str:
        """Return all findings, one a line, ordered by place."""
        return '\n'.join(str(finding) for finding in sorted(self.findings))
