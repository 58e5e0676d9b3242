"""Performs effects on what hosts find out of endpoints: checks, saves, and permits."""

from .._effects_forwarding import AnswerPermit, AskPermit, CheckEnded, SaveFindings
from .._errors import NOT_REACHED, Failure
from .._events import EndChecked, FindingsSaved
from .._logging import log_event
from .._runner import Runner, performs
from .._verdict import Verdict
from .hops import accepting


@performs(AskPermit)
def ask_permit(runner: Runner, effect: AskPermit) -> None:
    """Ask another host whether an endpoint's limit has room."""
    runner.ports.datagrams.ask_permit(runner.owner, effect)


@performs(AnswerPermit)
def answer_permit(runner: Runner, effect: AnswerPermit) -> None:
    """Answer another host's question."""
    runner.ports.datagrams.answer_permit(effect)


@performs(SaveFindings)
def save_findings(runner: Runner, effect: SaveFindings) -> None:
    """Save what this host has found."""
    runner.spawn("save_findings", _save_findings(runner, effect))


async def _save_findings(runner: Runner, effect: SaveFindings) -> None:
    failure = await runner.ports.register.save_findings(effect.findings, runner.now())
    if failure:
        log_event("findings_not_saved", reason=failure.detail)
    runner.post(FindingsSaved(at=runner.now(), failure=failure))


@performs(CheckEnded)
def check_ended(runner: Runner, effect: CheckEnded) -> None:
    """Check whether an endpoint has ended."""
    runner.spawn(f"crash/{effect.endpoint}", _check_ended(runner, effect))


async def _check_ended(runner: Runner, effect: CheckEnded) -> None:
    answer = await runner.ports.endpoints.has_ended(effect)
    if answer is True and effect.others and not await accepting(runner, effect.others):
        answer = Failure(reason=NOT_REACHED, verdict=Verdict.NOT_RUN)
    failed = isinstance(answer, Failure)
    runner.post(
        EndChecked(
            at=runner.now(),
            endpoint=effect.endpoint,
            has_ended=False if failed else answer,
            failure=answer if failed else None,
        )
    )
