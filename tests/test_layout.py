"""Tests of the size and the imports of the source files."""

from __future__ import annotations

from pathlib import Path

import pytest

SOURCE = Path(__file__).parent.parent / 'src' / 'quetzaldyke'
MAX_LINES = 400


@pytest.mark.parametrize('path', sorted(SOURCE.rglob('*.py')), ids=str)
def test_file_size(path: Path) -> None:
    """Guards against modules with more than one responsibility."""
    assert len(path.read_text().splitlines()) <= MAX_LINES


@pytest.mark.parametrize(
    'path',
    sorted((SOURCE / 'parts').glob('*.py')),
    ids=str,
)
def test_parts_import_only_parts(path: Path) -> None:
    """Guards against parts that depend on the rest of the package.

    Other programs must be able to embed them without the daemons.
    """
    imported = [
        line
        for line in path.read_text().splitlines()
        if line.startswith(('from quetzaldyke', 'import quetzaldyke'))
    ]
    assert all('quetzaldyke.parts' in line for line in imported)
