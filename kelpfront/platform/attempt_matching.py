"""Decides which attempt of a request a machine's message is about. Pure.

All attempts of a request have the same id, and a machine may send a message twice, late, or on another
connection. What is known is the attempt that is in flight at the machine, and the number of the attempt that
was sent on the message's connection, if any.

| attempt in flight at the machine | sent on the connection | message | match |
| --- | --- | --- | --- |
| none | any | any | NONE |
| without an answer | this attempt | any | CURRENT |
| without an answer | another attempt, or none | any | EARLIER |
| accepted | this attempt, or none | any but the next line | CURRENT |
| accepted, not the first, not ended by the placer | any | `end` with cause 31 | EARLIER |
| accepted | another attempt | `accept`, `info` | EARLIER |
| accepted | another attempt | `end` | AMBIGUOUS |

A machine reports on a running task on any connection, so an `end` on the connection of an earlier attempt may
be a late copy of that attempt's end, or the end of the task. The machine repeats only the latter on the next
connection that is opened, which tells them apart. Cause 31 confirms an end that the placer has sent.
"""

from __future__ import annotations

from enum import Enum

from kelpfront.platform.messages import Cause, Message
from kelpfront.platform.requests import Attempt


class AttemptMatch(Enum):
    """What a message is about."""

    CURRENT = "the attempt in flight"
    EARLIER = "an earlier attempt of the request"
    AMBIGUOUS = "the end of an earlier attempt, or of the running task"
    NONE = "no attempt at this machine"


def match_message(message: Message, attempt: Attempt | None, sent_number: int | None) -> AttemptMatch:
    """Return which attempt a message is about.

    Args:
        message: a machine's message about a request.
        attempt: the request's attempt that is in flight at that machine, if any.
        sent_number: the number of the attempt that was sent on the message's connection, if any.
    """
    if attempt is None:
        return AttemptMatch.NONE
    if not attempt.accepted:
        return AttemptMatch.CURRENT if sent_number == attempt.number else AttemptMatch.EARLIER
    if message.op == "end" and _confirms_earlier_end(message, attempt):
        return AttemptMatch.EARLIER
    if sent_number is None or sent_number == attempt.number:
        return AttemptMatch.CURRENT
    return AttemptMatch.AMBIGUOUS if message.op == "end" else AttemptMatch.EARLIER


def _confirms_earlier_end(message: Message, attempt: Attempt) -> bool:
    has_earlier_attempt = attempt.number > 0
    return message.why == Cause.UNSPECIFIED and has_earlier_attempt and not attempt.request.ended
