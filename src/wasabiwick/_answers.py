"""Bodies and headers of answers to callers, in the form that OpenAI-style clients expect."""

import math

import msgspec

from ._errors import Failure

VERDICT_HEADER = "X-Verdict"
REQUEST_HEADER = "X-Request-Id"
DONE = b"data: [DONE]\n\n"
HEARTBEAT = b": heartbeat\n\n"


class ErrorBody(msgspec.Struct, omit_defaults=True):
    """The ``error`` member of a failed answer."""

    code: str
    message: str
    verdict: str
    type: str = "error"
    retry_after: float | None = None


class ErrorAnswer(msgspec.Struct):
    """The body of a failed answer."""

    error: ErrorBody


class Message(msgspec.Struct):
    """A chat message."""

    content: str
    role: str = "assistant"


class Delta(msgspec.Struct, omit_defaults=True):
    """A piece of a streamed chat message."""

    content: str = ""


class Choice(msgspec.Struct, omit_defaults=True):
    """One choice of an answer; which fields are set depends on the kind of call."""

    index: int
    text: str | None = None
    message: Message | None = None
    delta: Delta | None = None
    finish_reason: str | None = None


class Usage(msgspec.Struct):
    """Numbers of tokens of a prompt and its answer."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class Completion(msgspec.Struct, omit_defaults=True):
    """A complete answer, or one chunk of a streamed one."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[Choice, ...]
    usage: Usage | None = None


class ModelEntry(msgspec.Struct):
    """One model of the model list."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "wasabiwick"


class ModelList(msgspec.Struct):
    """Answer of ``GET /v1/models``."""

    data: tuple[ModelEntry, ...]
    object: str = "list"


def error_body(failure: Failure) -> bytes:
    """Encode a failure as the JSON body of an answer."""
    body = ErrorBody(
        code=failure.reason.code,
        message=failure.detail,
        verdict=failure.verdict.value,
        retry_after=failure.retry_after,
    )
    return msgspec.json.encode(ErrorAnswer(error=body))


def error_headers(failure: Failure) -> dict[str, str]:
    """Return the headers that go with a failed answer."""
    headers = {VERDICT_HEADER: failure.verdict.value}
    if failure.retry_after is not None:
        # The header takes whole seconds only; the body has the exact time.
        headers["Retry-After"] = str(max(1, math.ceil(failure.retry_after)))
    return headers


class AnswerFormat:
    """Encodes the answer of one generation in the format of its API.

    Args:
        chat: Whether the call was a chat completion.
        answer_id: Identifier shown in the answer.
        model: Name of the model.
        created: Unix time shown in the answer, in whole seconds.
    """

    __slots__ = ("_chat", "_id", "_model", "_created")

    def __init__(self, *, chat: bool, answer_id: str, model: str, created: int) -> None:
        self._chat = chat
        self._id = answer_id
        self._model = model
        self._created = created

    def encode_chunk(self, text: str, finish: str | None = None) -> bytes:
        """Encode a piece of output as a server-sent event."""
        if self._chat:
            choice = Choice(index=0, delta=Delta(content=text), finish_reason=finish)
            kind = "chat.completion.chunk"
        else:
            choice = Choice(index=0, text=text, finish_reason=finish)
            kind = "text_completion"
        return b"data: " + self._encode(kind, choice, None) + b"\n\n"

    def encode_answer(self, text: str, finish: str, prompt_tokens: int, tokens: int) -> bytes:
        """Encode a complete answer."""
        usage = Usage(
            prompt_tokens=prompt_tokens,
            completion_tokens=tokens,
            total_tokens=prompt_tokens + tokens,
        )
        if self._chat:
            choice = Choice(index=0, message=Message(content=text), finish_reason=finish)
            kind = "chat.completion"
        else:
            choice = Choice(index=0, text=text, finish_reason=finish)
            kind = "text_completion"
        return self._encode(kind, choice, usage)

    def _encode(self, kind: str, choice: Choice, usage: Usage | None) -> bytes:
        return msgspec.json.encode(
            Completion(
                id=self._id,
                object=kind,
                created=self._created,
                model=self._model,
                choices=(choice,),
                usage=usage,
            )
        )
