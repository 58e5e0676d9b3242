"""The fold of a key's log records: every reader of the same records comes to the same state.

An attempt may run a request only while it is the winner that this fold names. A key that is older
than the horizon can't be won any more, so that its records may expire from the log.
"""

import msgspec

from ._wire import Intent, KeyState, Outcome, Void

EffectRecord = Intent | Void | Outcome

UNKNOWN = 0  # Status of an outcome that nobody knows.
NO_OUTCOME = -1
MAX_VOIDED = 16  # Effective voids remembered for each key.
BORN_SLACK = 300.0  # Seconds by which an intent may land after its key's horizon.

NEW_KEY = KeyState()


def fold(
    known: KeyState, record: EffectRecord, *, offset: int, time: float, horizon: float
) -> KeyState:
    """Apply one record of a key to the key's state.

    Args:
        known: State after all earlier records of the key.
        record: The next record of the key.
        offset: Offset of the record.
        time: Time at which the log took the record, in Unix seconds.
        horizon: Age of a key in seconds after which no intent wins.

    Returns:
        The state after the record; the same object if the record changes nothing.
    """
    if isinstance(record, Intent):
        return _fold_intent(known, record, offset, time, horizon)
    if isinstance(record, Void):
        return _fold_void(known, record, offset)
    return _fold_outcome(known, record)


def can_change_state(known: KeyState, record: EffectRecord) -> bool:
    """Tell whether a record would change the key's state if it were the next one."""
    if isinstance(record, Intent):
        return _wins(known, record)
    if isinstance(record, Void):
        return _voids(known, record)
    return _settles(known, record)


def expired(born: float, time: float, horizon: float) -> bool:
    """Tell whether an intent that the log takes at ``time`` comes too late for its key."""
    return time > born + horizon + BORN_SLACK


def _wins(known: KeyState, intent: Intent) -> bool:
    if intent.over:
        # An attempt that was replaced does not come back, however often its intent lands.
        fresh = intent.attempt_id not in known.earlier
        return fresh and intent.over == known.winner and known.status <= UNKNOWN
    return not known.winner and intent.after == known.epoch


def _fold_intent(
    known: KeyState, intent: Intent, offset: int, time: float, horizon: float
) -> KeyState:
    if not _wins(known, intent) or expired(intent.born, time, horizon):
        return known
    earlier = (*known.earlier, known.winner) if intent.over else ()
    return msgspec.structs.replace(
        known,
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


def _voids(known: KeyState, void: Void) -> bool:
    # A winner voids only while it has not dispatched; one that took over may not void at all,
    # because the attempt before it may have run.
    own = known.winner == void.attempt_id and not known.earlier and known.status == NO_OUTCOME
    return not known.winner or own


def _fold_void(known: KeyState, void: Void, offset: int) -> KeyState:
    if not _voids(known, void):
        return known
    voided = (*known.voided, void.attempt_id)[-MAX_VOIDED:]
    return KeyState(epoch=offset, voided=voided, born=void.born)


def _settles(known: KeyState, outcome: Outcome) -> bool:
    ran = known.winner and outcome.attempt_id in (known.winner, *known.earlier)
    if not ran or known.status > UNKNOWN:
        return False
    if outcome.status == UNKNOWN:
        return known.status == NO_OUTCOME and outcome.attempt_id == known.winner
    return True


def _fold_outcome(known: KeyState, outcome: Outcome) -> KeyState:
    if not _settles(known, outcome):
        return known
    return msgspec.structs.replace(
        known, status=outcome.status, body=outcome.body, content_type=outcome.content_type
    )
