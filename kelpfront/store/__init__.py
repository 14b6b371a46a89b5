"""The resource store, and a write-ahead log to make it durable.

`ResourceStore` holds the API's objects with revisions and answers lists and watches; it does no I/O and reads
no clock. `WriteAheadLog` (in `write_ahead_log`) keeps records on disk; the store does not use it yet.
"""

from kelpfront.store.listing import ListPage
from kelpfront.store.objects import StoredObject
from kelpfront.store.resource_store import ResourceStore, StoreLimits
from kelpfront.store.watch import Watch, WatchEvent

__all__ = ["ListPage", "ResourceStore", "StoreLimits", "StoredObject", "Watch", "WatchEvent"]
