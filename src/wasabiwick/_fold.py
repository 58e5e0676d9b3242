"""Folds the log records of a key into its state, the same for every reader of the same records.

An attempt may run a request only while it is the winner in the key's state. A key that is older
than the horizon can't be won any more, so that its records may expire from the log.
"""

import msgspec

from ._wire import Intent, KeyState, Outcome, Void

EffectRecord = Intent | Void | Outcome

UNKNOWN = 0  # Status of an outcome that is not known.
NO_OUTCOME = -1  # Status before any outcome.
MAX_VOIDED = 16  # Newest effective voids kept for each key.
EXPIRY_GRACE_S = 300.0  # An intent may land this long after its key's horizon.

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
    """Return whether the record would change the key's state as the next one, expiry aside."""
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
        # A replaced attempt never wins again, however often its intent lands.
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
    # A winner voids only while it has not dispatched; one that took over may not void at all,
    # because the attempt that it replaced may have run.
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
