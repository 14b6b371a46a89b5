"""JSON merge patch, RFC 7396."""

from __future__ import annotations

from typing import Any


def merge_patch(target: Any, patch: Any) -> Any:
    """Return the target with the patch applied; a null removes the member. Neither argument is changed."""
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for name, value in patch.items():
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = merge_patch(merged.get(name), value)
    return merged
