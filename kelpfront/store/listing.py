"""Paged lists, all of whose pages show the same revision, and their `continue` tokens.

The objects of a list that is not read to its end are kept by reference, for a bounded number of lists.
`resource_store` selects the objects of a list.
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

_CURRENT_REVISION = 0  # in a token: continue at the revision that is current when the token is used


@dataclass(frozen=True, slots=True)
class ListPage:
    """One page of a list as of `revision`; `remaining` is the number of objects after the page."""

    items: list[StoredObject]
    revision: int
    continue_token: str
    remaining: int


@dataclass(frozen=True, slots=True)
class ContinueToken:
    """The position at which a list continues: after the key `after`, in open list `list_id` of `revision`."""

    revision: int
    list_id: str
    after: ObjectKey

    @classmethod
    def at_current_revision(cls, after: ObjectKey) -> Self:
        """Return a token that continues after a key, at the revision that is current when it is used."""
        return cls(_CURRENT_REVISION, "", after)

    @property
    def is_at_current_revision(self) -> bool:
        """Whether the list continues at the current revision instead of in an open list."""
        return self.revision == _CURRENT_REVISION

    def encode(self) -> str:
        """Return the token as the text that is sent to clients."""
        text = json.dumps([self.revision, self.list_id, *self.after])
        return base64.urlsafe_b64encode(text.encode()).decode().rstrip("=")

    @classmethod
    def decode(cls, text: str) -> Self:
        """Parse the token of a client. Raises ApiError 400 if it is malformed."""
        padding = "=" * (-len(text) % 4)
        try:
            revision, list_id, namespace, name = json.loads(base64.urlsafe_b64decode(text + padding))
        except (ValueError, TypeError) as error:
            raise _invalid_token() from error
        are_strings = all(isinstance(part, str) for part in (list_id, namespace, name))
        if not isinstance(revision, int) or not are_strings:
            raise _invalid_token()
        return cls(revision, list_id, (namespace, name))


def _invalid_token() -> ApiError:
    return ApiError(400, "the continue token is not one that this server gave out")


@dataclass(frozen=True, slots=True)
class _OpenList:
    """The revision and all objects of a list that a client has read in part."""

    revision: int
    objects: list[StoredObject]


class ListPager:
    """Splits lists into pages. Above `max_open_lists`, the least recently read open list is dropped."""

    def __init__(self, max_open_lists: int) -> None:
        self._max_open_lists = max_open_lists
        self._open: OrderedDict[str, _OpenList] = OrderedDict()
        self._last_id = 0

    def first_page(self, objects: list[StoredObject], limit: int, revision: int) -> ListPage:
        """Return the first `limit` objects (0 for all), and keep the list open if there are more.

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
        """Return the next `limit` objects (0 for all that remain) of an open list.

        A token may be used again, because the client may not have received the response. Raises ApiError 410
        if the list was dropped, with a token that continues at the current revision.
        """
        open_list = self._open.get(token.list_id)
        if open_list is None or open_list.revision != token.revision:
            raise expired(
                "the list that the continue token is of is no longer kept; start again without it, or go on "
                "at the present revision with the token of this answer",
                ContinueToken.at_current_revision(token.after).encode(),
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
