"""JSON merge patch, RFC 7396."""

from __future__ import annotations

from typing import Any


def merge_patch(target: Any, patch: Any) -> Any:
    """The target with the patch applied; neither is changed. A null in the patch removes the member."""
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for name, value in patch.items():
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = merge_patch(merged.get(name), value)
    return merged
