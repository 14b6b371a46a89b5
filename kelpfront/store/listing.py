"""Lists that are read in pages, which together show one revision, and their `continue` tokens.

The rest of a list is kept as references to its objects, for a bounded number of lists. Which objects a list
has is decided in `resource_store`.
"""

from __future__ import annotations

import base64
import json
from bisect import bisect_right
from collections import OrderedDict
from dataclasses import dataclass
from typing import Self

from kelpfront.api.errors import ApiError, expired
from kelpfront.store.objects import ObjectKey, StoredObject

_PRESENT = 0  # in a token: the list goes on at the present revision, whichever it is


@dataclass(frozen=True, slots=True)
class ListPage:
    """A part of a list, as it was at `revision`; `remaining` objects follow it."""

    items: list[StoredObject]
    revision: int
    continue_token: str
    remaining: int


@dataclass(frozen=True, slots=True)
class ContinueToken:
    """Where a list goes on: after the object `after`, in the open list `list_id` of `revision`."""

    revision: int
    list_id: str
    after: ObjectKey

    @classmethod
    def at_present(cls, after: ObjectKey) -> Self:
        """Return a token that goes on after an object at the revision of the time when it is used."""
        return cls(_PRESENT, "", after)

    @property
    def is_at_present(self) -> bool:
        """Whether the list goes on at the present revision and not in an open list."""
        return self.revision == _PRESENT

    def encode(self) -> str:
        """Return the text that clients send back."""
        text = json.dumps([self.revision, self.list_id, *self.after])
        return base64.urlsafe_b64encode(text.encode()).decode().rstrip("=")

    @classmethod
    def decode(cls, text: str) -> Self:
        """Read a client's token. Raises ApiError 400 for one that this server did not give out."""
        padding = "=" * (-len(text) % 4)
        try:
            revision, list_id, namespace, name = json.loads(base64.urlsafe_b64decode(text + padding))
        except (ValueError, TypeError) as error:
            raise _unknown_token() from error
        has_texts = all(isinstance(part, str) for part in (list_id, namespace, name))
        if not isinstance(revision, int) or not has_texts:
            raise _unknown_token()
        return cls(revision, list_id, (namespace, name))


def _unknown_token() -> ApiError:
    return ApiError(400, "the continue token is not one that this server gave out")


@dataclass(frozen=True, slots=True)
class _OpenList:
    """A list of which a client has read a part."""

    revision: int
    objects: list[StoredObject]


class ListPager:
    """The open lists. Beyond `max_open_lists`, the one that was not read for the longest is dropped."""

    def __init__(self, max_open_lists: int) -> None:
        self._max_open_lists = max_open_lists
        self._open: OrderedDict[str, _OpenList] = OrderedDict()
        self._last_id = 0

    def first_page(self, objects: list[StoredObject], limit: int, revision: int) -> ListPage:
        """Return the first `limit` objects (0: all), and keep the list open if there are more.

        `objects` are sorted by key and must not change afterwards.
        """
        if not limit or len(objects) <= limit:
            return ListPage(objects, revision, "", 0)
        self._last_id += 1
        list_id = str(self._last_id)
        open_list = _OpenList(revision, objects)
        self._open[list_id] = open_list
        while len(self._open) > self._max_open_lists:
            self._open.popitem(last=False)
        return _page(open_list, list_id, 0, limit)

    def next_page(self, token: ContinueToken, limit: int) -> ListPage:
        """Return the next `limit` objects (0: all the rest) of an open list.

        The same token may be used again, as its answer may have been lost. Raises ApiError 410 where the list
        was dropped, with a token that goes on at the present revision.
        """
        open_list = self._open.get(token.list_id)
        if open_list is None or open_list.revision != token.revision:
            raise expired(
                "the list that the continue token is of is no longer kept; start again without it, or go on "
                "at the present revision with the token of this answer",
                ContinueToken.at_present(token.after).encode(),
            )
        self._open.move_to_end(token.list_id)
        start = bisect_right(open_list.objects, token.after, key=lambda stored: stored.key)
        return _page(open_list, token.list_id, start, limit)


def _page(open_list: _OpenList, list_id: str, start: int, limit: int) -> ListPage:
    objects, revision = open_list.objects, open_list.revision
    end = start + limit
    if not limit or len(objects) <= end:
        return ListPage(objects[start:], revision, "", 0)
    token = ContinueToken(revision, list_id, objects[end - 1].key)
    return ListPage(objects[start:end], revision, token.encode(), len(objects) - end)
