"""The resource store: objects with revisions, their history, lists and watches. No I/O, no clock."""

from kelpfront.store.objects import Stored
from kelpfront.store.resources import Page, ResourceStore, StoreLimits
from kelpfront.store.watch import Watch, WatchEvent

__all__ = ["Page", "ResourceStore", "StoreLimits", "Stored", "Watch", "WatchEvent"]
