"""The in-memory resource store, and a write-ahead log.

`ResourceStore` holds the API's objects with their revisions and serves lists and watches; it does no I/O and
does not read the clock. `WriteAheadLog` (in `write_ahead_log`) stores records on disk; the resource store
does not use it yet.
"""

from kelpfront.store.listing import ListPage
from kelpfront.store.objects import StoredObject
from kelpfront.store.resource_store import ResourceStore, StoreLimits
from kelpfront.store.watch import Watch, WatchEvent

__all__ = ["ListPage", "ResourceStore", "StoreLimits", "StoredObject", "Watch", "WatchEvent"]
