"""Decides which answers are cut off where callers leave more unread than the host may hold.

Load pattern handled: callers that read slowly, or not at all, while others read at once. An answer
is cut off only if its caller has taken nothing for a while; one that is read slowly goes on, and
its endpoint waits, unless all together are far beyond the limit. The organisation that leaves most
unread loses first, so that one can't take the room of all.
"""

import collections
import typing

from .._effects import Count, LogLine
from .._effects_forwarding import CutForward
from .._errors import UNREAD
from .._events import AnswersUnread
from .._forwarding import UnreadAnswer
from .._reducer import Step, handles
from .._state import State
from . import forwarding

# Seconds without a byte taken from which an answer counts as not read. Callers whose packets were
# lost go on within two seconds.
STALLED_S = 3.0
# Multiple of the limit above which slow answers are cut off too, the slowest first.
HARD_RATIO = 2.0


@handles(AnswersUnread)
def cut_unread(state: State, event: AnswersUnread) -> typing.Iterator[Step]:
    """Cut off answers that are not read, until the others are within the limit."""
    owners = {one.call_id: _owner(state, one.call_id) for one in event.answers}
    held = collections.Counter()
    for one in event.answers:
        held[owners[one.call_id]] += one.size
    total = held.total()

    def loss_order(one: UnreadAnswer) -> tuple[bool, int, float, int]:
        is_ended = forwarding.call(state, one.call_id) is None
        return is_ended, held[owners[one.call_id]], one.stalled, one.size

    left = list(event.answers)
    while total > event.limit_bytes:
        is_far_beyond = total > HARD_RATIO * event.limit_bytes and len(left) > 1
        candidates = [one for one in left if is_far_beyond or one.stalled >= STALLED_S]
        if not candidates:
            return
        worst = max(candidates, key=loss_order)
        yield from _cut(state, worst, owners[worst.call_id], total, event)
        left.remove(worst)
        total -= worst.size
        held[owners[worst.call_id]] -= worst.size


def _owner(state: State, call_id: str) -> str:
    """Return the name of the organisation of a call; empty if it has none or has ended."""
    req = forwarding.call(state, call_id)
    return req.organisation.name if req is not None and req.organisation is not None else ""


def _cut(
    state: State, one: UnreadAnswer, owner: str, total: int, event: AnswersUnread
) -> typing.Iterator[Step]:
    fields = {
        "reason": UNREAD.code,
        "unread": one.size,
        "stalled": one.stalled,
        "all_unread": total,
        "limit": event.limit_bytes,
        "organisation": owner or "-",
    }
    yield Count(metric="forward_refused", label=UNREAD.code)
    req = forwarding.call(state, one.call_id)
    if req is None:
        # Its time had passed while its answer was written.
        yield LogLine(event="cut", fields={"call": one.call_id, **fields})
        yield CutForward(call_id=one.call_id)
        return
    yield forwarding.log("cut", req, state, event.at, events=req.events, **fields)
    yield CutForward(call_id=one.call_id)
    yield from forwarding.close_call(state, req, event.at)
