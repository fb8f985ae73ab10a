"""JSON Patch on configuration documents.

A patch applies to the whole document with its defaults filled in, so that
an operator may replace a field that was never set.
"""

from __future__ import annotations

import hashlib
import json
import zlib
from collections.abc import Sequence
from typing import Any, Final

import jsonpatch
import jsonpointer
from result import Err, Result

from quetzaldyke.parts.errors import Errors
from quetzaldyke.version.configuration import (
    Configuration,
    check_document,
)

MAX_OPERATIONS: Final = 1000
# Each copy of the root into itself doubles the document.
MAX_COPIES: Final = 4
DIGEST_CHARS: Final = 16

Operations = Sequence[dict[str, Any]]


def apply_patch(
    configuration: Configuration,
    operations: Operations,
) -> Result[Configuration, Errors]:
    """Return the patched and validated configuration, or the findings."""
    errors = check_size(operations)
    if errors.found:
        return Err(errors)
    document = configuration.model_dump(mode='json')
    try:
        patched = jsonpatch.JsonPatch(list(operations)).apply(document)
    except (
        jsonpatch.JsonPatchException,
        jsonpointer.JsonPointerException,
        TypeError,
        KeyError,
        ValueError,
    ) as exc:
        # The library raises plain errors for some operations whose value
        # has another type than the target.
        errors.add('patch', f'{type(exc).__name__}: {exc}')
        return Err(errors)
    return check_document(patched)


def check_size(operations: Operations) -> Errors:
    """Refuse patches that could exhaust the memory."""
    errors = Errors()
    if len(operations) > MAX_OPERATIONS:
        errors.add('patch', f'more than {MAX_OPERATIONS} operations')
    copies = sum(one.get('op') == 'copy' for one in operations)
    if copies > MAX_COPIES:
        errors.add('patch', f'more than {MAX_COPIES} copy operations')
    return errors


def pack_operations(operations: Operations) -> bytes:
    """Return the compressed form that the history keeps."""
    text = json.dumps(list(operations), separators=(',', ':'), sort_keys=True)
    return zlib.compress(text.encode())


def unpack_operations(raw: bytes) -> list[dict[str, Any]]:
    """Return the operations of a packed patch; none if not kept."""
    if not raw:
        return []
    operations: list[dict[str, Any]] = json.loads(zlib.decompress(raw))
    return operations


def digest_of(base_version: int, operations: Operations) -> str:
    """Return a digest that tells two patches with one id apart."""
    text = json.dumps([base_version, list(operations)], sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_CHARS]
