"""The error that ends the channel of an answer that can't be completed."""

from __future__ import annotations


class IncompleteResponseError(Exception):
    """An answer that had begun can't be completed; its channel must end."""
