"""Request and response bodies of the engines' HTTP interface."""

import msgspec


class StreamReport(msgspec.Struct, frozen=True):
    """One request that holds memory at an engine."""

    request_id: str
    attempt_id: str
    owner: str
    phase: str
    offset: int = 0


class EngineReport(msgspec.Struct, frozen=True):
    """An engine's load report, numbered ``sequence``.

    ``prefill_rate`` is in tokens/s, ``link_rate`` in bytes/s. ``decode_interval`` is the time in
    seconds between two outputs of one stream at the current batch size. ``versions`` holds the
    versions of ``models``, in the same order, if the engine reports them.
    """

    engine: str
    sequence: int
    slots: int
    used: int
    queued_prefill_tokens: int = 0
    prefill_rate: float = 0.0
    link_rate: float = 0.0
    decode_interval: float = 0.0
    piece_tokens: int = 16
    kv_bytes_per_token: int = 0
    models: tuple[str, ...] = ()
    versions: tuple[str, ...] = ()
    roles: tuple[str, ...] = ("prefill", "decode")
    fence: int = -1
    streams: tuple[StreamReport, ...] = ()


class CacheEvent(msgspec.Struct, frozen=True):
    """One change of an engine's prefix cache; a gap in ``sequence`` means events were lost."""

    sequence: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    cleared: bool = False


class PrefillAsk(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/prefill`` at an engine.

    ``prefix`` is output of an earlier attempt that the caller already has; the engine treats it as
    part of the context, so that decoding can continue after it.
    """

    request_id: str
    attempt_id: str
    owner: str
    model: str
    prompt: str
    prefix: str = ""
    priority: int = 0


class PrefillAnswer(msgspec.Struct, frozen=True):
    """Answer of ``POST /v1/prefill``: a KV handle that expires in ``expires_in`` seconds."""

    handle: str
    expires_in: float
    prompt_tokens: int
    cached_tokens: int
    seconds: float


class DecodeAsk(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/decode``: import the KV cache from ``source`` and stream the output.

    ``source`` is the base URL of the engine that holds ``handle``, and may be the engine itself.
    Output starts at ``offset`` and ends at ``max_tokens``, both counted from the prompt's end. The
    answer is a stream of JSON lines, each a `Frame`. An engine without a free slot answers 503
    and has not run the request.
    """

    request_id: str
    attempt_id: str
    owner: str
    model: str
    source: str
    handle: str
    max_tokens: int
    offset: int = 0
    priority: int = 0


class ResumeAsk(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/resume``: stream a running request again from ``offset``.

    With ``takeover`` the sender becomes the owner, and the previous reader gets a last frame with
    finish ``superseded``. Without it, the engine answers 409 to any sender but the current owner.
    """

    request_id: str
    attempt_id: str
    owner: str
    offset: int = 0
    takeover: bool = False


class CancelAsk(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/cancel``: end the attempt and free its memory. Idempotent."""

    request_id: str
    attempt_id: str


class CancelAnswer(msgspec.Struct, frozen=True):
    """Answer of ``POST /v1/cancel``; ``gone`` is true once the attempt holds no memory."""

    gone: bool


class OrderAsk(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/orders``: load or unload a model, or change the engine's roles.

    ``action`` is ``load``, ``unload`` or ``role``.
    """

    action: str
    model: str
    version: str
    fence: int
    roles: tuple[str, ...] = ()


class Frame(msgspec.Struct, frozen=True):
    """One line of an engine's stream: ``text`` holds the ``count`` tokens that follow ``offset``.

    A frame with ``count`` 0 and no ``done`` is a heartbeat. ``finish`` is ``stop``, ``length``,
    ``cancelled``, ``superseded`` or ``error``.
    """

    request_id: str
    attempt_id: str
    offset: int
    count: int = 0
    text: str = ""
    done: bool = False
    finish: str = ""
