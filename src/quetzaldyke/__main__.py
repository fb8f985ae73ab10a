"""Supports running the command line as `python -m quetzaldyke`."""

from __future__ import annotations

from quetzaldyke.main import main

if __name__ == '__main__':
    main()
