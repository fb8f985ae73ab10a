"""Collects findings with their locations, to report them together.

Checks add each finding to one collector and continue. The caller decides at
the end whether to stop, so that an operator sees all errors at once.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True, order=True)
class Finding:
    """One error and the flag, field or line that it is in."""

    place: str
    message: str

    def __str__(self) -> str:
        """Return the text that is printed to operators."""
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
        """Tell whether there are any findings."""
        return bool(self.findings)

    def add(self, place: str, message: str) -> None:
        """Add one finding."""
        self.findings.append(Finding(place, message))

    def render(self) -> str:
        """Return all findings, one per line, ordered by place."""
        return '\n'.join(str(finding) for finding in sorted(self.findings))
