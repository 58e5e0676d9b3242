"""Parses and checks callers' requests, and turns them into calls."""

import hashlib
import uuid

import msgspec
from aiohttp import web

from ._decoding import decode_json
from ._errors import BAD_REQUEST, Failure
from ._events import Call
from ._pieces import piece_chain, tokens_of
from ._runner import Body, Runner
from ._verdict import Verdict

MAX_KEY_LENGTH = 200  # Longest idempotency key, in characters.
DEFAULT_MAX_TOKENS = 256
UUID_VERSION_WITH_TIME = 7
UUID_BITS_BELOW_TIME = 80
SECONDS_PER_MILLISECOND = 1e-3


class Turn(msgspec.Struct):
    """One message of a chat."""

    role: str
    content: str


class CompletionAsk(msgspec.Struct):
    """Body of ``POST /v1/completions``."""

    model: str
    prompt: str
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False

    def text(self) -> str:
        """Return the prompt."""
        return self.prompt


class ChatAsk(msgspec.Struct):
    """Body of ``POST /v1/chat/completions``."""

    model: str
    messages: list[Turn]
    max_tokens: int = DEFAULT_MAX_TOKENS
    max_completion_tokens: int | None = None
    stream: bool = False

    def text(self) -> str:
        """Return the chat as one prompt."""
        return "\n".join(f"{turn.role}: {turn.content}" for turn in self.messages)


class Envelope:
    """Headers that calls of all kinds have, after they were checked.

    Attributes:
        call_id: Identifier of the call.
        key: The caller's idempotency key, or empty.
        request_id: Identifier of the request; a customer's calls with one idempotency key share it.
        key_hash: Hash of the API key.
        deadline: Monotonic time in seconds until which the caller waits.
        born: Unix time in seconds at which the idempotency key was made, or 0.
    """

    __slots__ = ("call_id", "key", "request_id", "key_hash", "deadline", "born")

    def __init__(
        self,
        *,
        call_id: str,
        key: str,
        request_id: str,
        key_hash: str,
        deadline: float,
        born: float,
    ) -> None:
        self.call_id = call_id
        self.key = key
        self.request_id = request_id
        self.key_hash = key_hash
        self.deadline = deadline
        self.born = born


def bad_request(detail: str) -> Failure:
    """Return the failure of a malformed request."""
    return Failure(reason=BAD_REQUEST, verdict=Verdict.NOT_RUN, detail=detail)


def read_headers(
    runner: Runner, req: web.Request, call_id: str, customer: str
) -> Envelope | Failure:
    """Check the headers that all calls share.

    Args:
        runner: The host's runner.
        req: The HTTP request.
        call_id: Identifier of the call.
        customer: Name of the customer, or empty; distinguishes equal keys of two customers.

    Returns:
        The checked headers, or a failure.
    """
    key = req.headers.get("Idempotency-Key", "")
    if len(key) > MAX_KEY_LENGTH or not key.isprintable():
        return bad_request(f"the Idempotency-Key is not printable, or over {MAX_KEY_LENGTH} long")
    wait = _timeout(runner, req)
    if isinstance(wait, Failure):
        return wait
    return Envelope(
        call_id=call_id,
        key=key,
        request_id=f"{customer}:{key}" if key else call_id,
        key_hash=key_hash(req),
        deadline=runner.now() + wait,
        born=created_at(key),
    )


def key_hash(req: web.Request) -> str:
    """Return the hash of the API key that a request carries, or an empty string."""
    scheme, _, token = req.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not token:
        return ""
    return hashlib.sha256(token.strip().encode()).hexdigest()


def created_at(key: str) -> float:
    """Return the Unix time in seconds at which a UUIDv7 was made, or 0 for any other key."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return 0.0
    if parsed.version != UUID_VERSION_WITH_TIME:
        return 0.0
    return (parsed.int >> UUID_BITS_BELOW_TIME) * SECONDS_PER_MILLISECOND


def _timeout(runner: Runner, req: web.Request) -> float | Failure:
    given = req.headers.get("X-Request-Timeout", "")
    if not given:
        return runner.cfg.limits.default_deadline
    try:
        seconds = float(given)
    except ValueError:
        seconds = -1.0
    if not 0 < seconds < float("inf"):
        return bad_request(f"the X-Request-Timeout {given!r} is not a positive number of seconds")
    return seconds


def parse_generation(
    envelope: Envelope, raw: bytes, form: type[CompletionAsk] | type[ChatAsk]
) -> tuple[Call, Body, CompletionAsk | ChatAsk] | Failure:
    """Parse and check the body of a call for generated text.

    Args:
        envelope: The checked headers.
        raw: The body.
        form: Type that the body is decoded as.

    Returns:
        The call, the body for endpoints, and the decoded body; or a failure.
    """
    try:
        decoded = decode_json(raw, form)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        return bad_request(f"the body is not valid: {exc}")
    tokens = getattr(decoded, "max_completion_tokens", None) or decoded.max_tokens
    if tokens < 1:
        return bad_request("max_tokens is not positive")
    prompt = decoded.text()
    call = Call(
        call_id=envelope.call_id,
        request_id=envelope.request_id,
        has_key=bool(envelope.key),
        key_hash=envelope.key_hash,
        kind="generate",
        target=decoded.model,
        deadline=envelope.deadline,
        digest=digest_of(raw),
        prompt_tokens=len(tokens_of(prompt)),
        max_tokens=tokens,
        pieces=piece_chain(prompt),
        born=envelope.born,
    )
    return call, Body(prompt=prompt, raw=raw, content_type="application/json"), decoded


def service_call(envelope: Envelope, req: web.Request, raw: bytes) -> tuple[Call, Body]:
    """Turn a request to a plain service into a call."""
    path = "/" + req.match_info["path"]
    if req.query_string:
        path = f"{path}?{req.query_string}"
    call = Call(
        call_id=envelope.call_id,
        request_id=envelope.request_id,
        has_key=bool(envelope.key),
        key_hash=envelope.key_hash,
        kind="service",
        target=req.match_info["service"],
        method=req.method,
        path=path,
        deadline=envelope.deadline,
        digest=digest_of(raw + f"{req.method} {path}".encode()),
        born=envelope.born,
    )
    content_type = req.headers.get("Content-Type", "application/octet-stream")
    return call, Body(prompt="", raw=raw, content_type=content_type)


def digest_of(raw: bytes) -> str:
    """Return a hash by which two requests with the same idempotency key can be compared."""
    return hashlib.sha256(raw).hexdigest()
