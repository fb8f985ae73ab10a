"""Tests of the page on embedding the parts."""

from __future__ import annotations

import importlib
import re
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / 'docs' / 'library.md').read_text()
ROWS = re.findall(r'^\| (`[^|]*) \| (`[^|]*) \|', PAGE, re.MULTILINE)
NAMES = [
    (re.findall('`([a-z_]+)`', modules), name)
    for modules, names in ROWS
    for name in re.findall('`([A-Za-z_]+)`', names)
]


@pytest.mark.parametrize(('modules', 'name'), NAMES)
def test_public_names_exist(modules: list[str], name: str) -> None:
    """Guards against a page that names what the library lacks."""
    found = [
        importlib.import_module(f'quetzaldyke.parts.{module}')
        for module in modules
    ]
    assert any(hasattr(module, name) for module in found)


def test_example_runs() -> None:
    """Guards against an example that embedders can't run."""
    (example,) = re.findall('```python\n(.*?)```', PAGE, re.DOTALL)
    done = subprocess.run(
        [sys.executable, '-c', example],
        capture_output=True,
        text=True,
        check=True,
        env={'PYTHONPATH': str(ROOT / 'src')},
    )
    assert done.stdout.splitlines() == [
        'tower 4 is swapped',
        'already done: tower 4 is swapped',
    ]
