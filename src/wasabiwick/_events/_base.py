"""Base class of events, and the description of a caller's request."""

from .._record import Record


class Event(Record):
    """Base of all events; ``at`` is the host's monotonic time in seconds."""

    __slots__ = ("at",)

    def __init__(self, *, at: float) -> None:
        self.at = at


class Call(Record):
    """A caller's request without its body.

    Args:
        call_id: Identifies the caller's connection on this host.
        request_id: The Idempotency-Key, or a generated identifier.
        has_key: Whether the caller gave the Idempotency-Key.
        key_hash: Hash of the caller's API key, hexadecimal.
        kind: ``generate`` or ``service``.
        target: Model of a generation, or name of a service.
        method: HTTP method of a service call.
        path: Path of a service call below the service's root.
        digest: Hash of the body, hexadecimal.
        prompt_tokens: Estimated length of the prompt in tokens.
        max_tokens: Maximum length of the output in tokens.
        pieces: Hash chain over the prompt's fixed-size pieces.
        born: Unix time in seconds at which the key was created, or 0 if unknown.
        deadline: Monotonic time in seconds until which the caller waits.
    """

    __slots__ = (
        "call_id",
        "request_id",
        "has_key",
        "key_hash",
        "kind",
        "target",
        "method",
        "path",
        "digest",
        "prompt_tokens",
        "max_tokens",
        "pieces",
        "born",
        "deadline",
    )

    def __init__(
        self,
        *,
        call_id: str,
        request_id: str,
        has_key: bool,
        key_hash: str,
        kind: str,
        target: str,
        deadline: float,
        method: str = "POST",
        path: str = "",
        digest: str = "",
        prompt_tokens: int = 0,
        max_tokens: int = 0,
        pieces: tuple[int, ...] = (),
        born: float = 0.0,
    ) -> None:
        self.call_id = call_id
        self.request_id = request_id
        self.has_key = has_key
        self.key_hash = key_hash
        self.kind = kind
        self.target = target
        self.deadline = deadline
        self.method = method
        self.path = path
        self.digest = digest
        self.prompt_tokens = prompt_tokens
        self.max_tokens = max_tokens
        self.pieces = tuple(pieces)
        self.born = born
