"""Performs effects that answer, relay to, or close the calls of waiting callers."""

from .._effects import (
    AnswerCall,
    AttachCall,
    CloseCall,
    FinishStream,
    ForgetRequest,
    RefuseCall,
)
from .._output import Output
from .._runner import Runner, performs


def output_of(runner: Runner, request_id: str) -> Output:
    """Return the output of a request; creates it if there is none yet."""
    output = runner.outputs.get(request_id)
    if output is None:
        output = Output(limit=runner.cfg.limits.stream_buffer_bytes)
        runner.outputs[request_id] = output
    return output


@performs(RefuseCall)
def refuse(runner: Runner, effect: RefuseCall) -> None:
    """Answer a call with a failure."""
    sink = runner.sinks.get(effect.call_id)
    if sink:
        sink.refuse(effect.failure)


@performs(AttachCall)
def attach(runner: Runner, effect: AttachCall) -> None:
    """Relay a request's output to the caller of a call."""
    sink = runner.sinks.get(effect.call_id)
    if sink:
        sink.attach(output_of(runner, effect.request_id))


@performs(CloseCall)
def close(runner: Runner, effect: CloseCall) -> None:
    """Close a call without an answer."""
    sink = runner.sinks.get(effect.call_id)
    if sink:
        sink.close()


@performs(AnswerCall)
def answer(runner: Runner, effect: AnswerCall) -> None:
    """Answer a call with the answer of a service that is not a model engine."""
    sink = runner.sinks.get(effect.call_id)
    if sink:
        sink.answer(effect.status, effect.body, effect.content_type)


@performs(FinishStream)
def finish(runner: Runner, effect: FinishStream) -> None:
    """Mark a request's output as complete."""
    output_of(runner, effect.request_id).finish_with(effect.finish)


@performs(ForgetRequest)
def forget(runner: Runner, effect: ForgetRequest) -> None:
    """Drop a request's body and output, and cancel the task of its attempt."""
    runner.stop_task(f"attempt/{effect.request_id}")
    runner.bodies.pop(effect.request_id, None)
    runner.outputs.pop(effect.request_id, None)
