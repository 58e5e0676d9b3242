"""Computes the state of an idempotency key from its log records; all readers get the same state.

An attempt may run a request only while it is the winner in the key's state. No attempt can win a
key that is older than the horizon, so the records of such a key may expire from the log.
"""

import msgspec

from ._wire import Intent, KeyState, Outcome, Void

EffectRecord = Intent | Void | Outcome

UNKNOWN = 0  # Recorded status of a call whose outcome is not known.
NO_OUTCOME = -1  # Status of a key before any outcome is recorded.
MAX_VOIDED = 16  # A key's state names at most this many attempts that gave up, the newest ones.
# An attempt can still win if the log takes its intent up to this long after the key's horizon.
EXPIRY_GRACE_S = 300.0

NEW_KEY = KeyState()


def fold(
    state: KeyState, record: EffectRecord, *, offset: int, time: float, horizon: float
) -> KeyState:
    """Apply one record of a key to the key's state.

    Args:
        state: State after all earlier records of the key.
        record: The next record of the key.
        offset: Offset of the record.
        time: Time at which the log took the record, in Unix seconds.
        horizon: Age of a key in seconds after which no intent wins.

    Returns:
        The state after the record; the same object if the record changes nothing.
    """
    if isinstance(record, Intent):
        return _fold_intent(state, record, offset, time, horizon)
    if isinstance(record, Void):
        return _fold_void(state, record, offset)
    return _fold_outcome(state, record)


def can_change_state(state: KeyState, record: EffectRecord) -> bool:
    """Return whether the record, if it came next, would change the state of an unexpired key."""
    if isinstance(record, Intent):
        return _wins(state, record)
    if isinstance(record, Void):
        return _voids(state, record)
    return _settles(state, record)


def expired(born: float, time: float, horizon: float) -> bool:
    """Return whether an intent that the log takes at ``time`` is too late for its key."""
    return time > born + horizon + EXPIRY_GRACE_S


def _wins(state: KeyState, intent: Intent) -> bool:
    if intent.over:
        # A replaced attempt never wins again, however often the log takes its intent.
        fresh = intent.attempt_id not in state.earlier
        return fresh and intent.over == state.winner and state.status <= UNKNOWN
    return not state.winner and intent.after == state.epoch


def _fold_intent(
    state: KeyState, intent: Intent, offset: int, time: float, horizon: float
) -> KeyState:
    if not _wins(state, intent) or expired(intent.born, time, horizon):
        return state
    earlier = (*state.earlier, state.winner) if intent.over else ()
    return msgspec.structs.replace(
        state,
        winner=intent.attempt_id,
        owner=intent.owner,
        fence=offset,
        since=time,
        earlier=earlier,
        status=NO_OUTCOME,
        service=intent.service,
        digest=intent.digest,
        born=intent.born,
    )


def _voids(state: KeyState, void: Void) -> bool:
    # A winner gives up only before it has sent the call. One that replaced another attempt can't
    # give up at all, because the replaced attempt may have run.
    own = state.winner == void.attempt_id and not state.earlier and state.status == NO_OUTCOME
    return not state.winner or own


def _fold_void(state: KeyState, void: Void, offset: int) -> KeyState:
    if not _voids(state, void):
        return state
    voided = (*state.voided, void.attempt_id)[-MAX_VOIDED:]
    return KeyState(epoch=offset, voided=voided, born=void.born)


def _settles(state: KeyState, outcome: Outcome) -> bool:
    ran = state.winner and outcome.attempt_id in (state.winner, *state.earlier)
    if not ran or state.status > UNKNOWN:
        return False
    if outcome.status == UNKNOWN:
        return state.status == NO_OUTCOME and outcome.attempt_id == state.winner
    return True


def _fold_outcome(state: KeyState, outcome: Outcome) -> KeyState:
    if not _settles(state, outcome):
        return state
    return msgspec.structs.replace(
        state, status=outcome.status, body=outcome.body, content_type=outcome.content_type
    )
