"""Reports failed calls to endpoints as events; shared by the performers of attempts."""

from .._effects import AttemptEffect
from .._errors import NO_ENDPOINT, Failure
from .._events import AttemptFailed
from .._runner import Runner
from .._verdict import Verdict


def post_failure(runner: Runner, effect: AttemptEffect, phase: str, failure: Failure) -> None:
    """Post the event that a call to an endpoint failed in this phase of its attempt."""
    runner.post(
        AttemptFailed.about(
            effect,
            at=runner.now(),
            phase=phase,
            failure=failure,
        )
    )


def no_address(endpoint: str) -> Failure:
    """Return the failure of a call to an endpoint that is not on the host list."""
    return Failure(
        reason=NO_ENDPOINT,
        verdict=Verdict.NOT_RUN,
        detail=f'endpoint "{endpoint}" has no address',
    )
