"""The resource store: objects with revisions, their history, lists and watches. No I/O, no clock."""

from kelpfront.store.resources import Page, ResourceStore, Stored, StoreLimits
from kelpfront.store.watch import Watch, WatchEvent

__all__ = ["Page", "ResourceStore", "StoreLimits", "Stored", "Watch", "WatchEvent"]
