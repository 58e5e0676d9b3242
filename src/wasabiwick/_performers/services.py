"""Performs calls to plain services: those that are not model engines."""

from .._effects import AttemptEffect, CallService, QueryService
from .._errors import Failure
from .._events import ServiceAnswered
from .._handlers import members
from .._ports import ServiceAnswer
from .._runner import Runner, performs
from ._attempts import no_address, post_failure


@performs(CallService)
def call(runner: Runner, effect: CallService) -> None:
    """Send the request once, without retries."""
    # A task named by request is cancelled when the request is forgotten, as after its caller has
    # left. This task is named by attempt, so that it continues.
    runner.spawn(f"service/{effect.attempt_id}", _call(runner, effect), subject=effect.request_id)


async def _call(runner: Runner, effect: CallService) -> None:
    address = members.address_of(runner.state, effect.endpoint)
    body = runner.bodies.get(effect.request_id)
    if not address or body is None:
        _post_answer(runner, effect, no_address(effect.endpoint))
        return
    answer = await runner.ports.service.call(
        address,
        method=effect.method,
        path=effect.path,
        body=body.raw,
        content_type=body.content_type,
        key=effect.request_id,
        fence=effect.fence,
        timeout=runner.cfg.timing.service,
    )
    _post_answer(runner, effect, answer)


@performs(QueryService)
def query(runner: Runner, effect: QueryService) -> None:
    """Ask a service for the outcome of an earlier call."""
    runner.spawn(f"query/{effect.attempt_id}", _query(runner, effect), subject=effect.request_id)


async def _query(runner: Runner, effect: QueryService) -> None:
    address = members.address_of(runner.state, effect.endpoint)
    answer = await runner.ports.service.query(address, key=effect.request_id, fence=effect.fence)
    _post_answer(runner, effect, answer)


def _post_answer(runner: Runner, effect: AttemptEffect, answer: ServiceAnswer | Failure) -> None:
    if isinstance(answer, Failure):
        phase = "query" if isinstance(effect, QueryService) else "service"
        post_failure(runner, effect, phase, answer)
        return
    runner.post(
        ServiceAnswered.about(
            effect,
            at=runner.now(),
            status=answer.status,
            body=answer.body,
            content_type=answer.content_type,
        )
    )
