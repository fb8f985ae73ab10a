"""The error that closes the connection of an incomplete response."""

from __future__ import annotations


class IncompleteResponseError(Exception):
    """A started response can't be completed; its connection must close."""
