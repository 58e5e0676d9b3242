"""Wire messages: what hosts send each other, and what they keep in the log.

Each message is a tagged `msgspec.Struct`, encoded as a JSON object whose ``type`` names it. Unknown
fields are ignored, so that hosts of neighbouring versions understand each other.
"""

import msgspec


class Owner(msgspec.Struct, frozen=True, order=True):
    """One run of one entry host: the host's name and the incarnation of its process."""

    host: str
    incarnation: str


class Base(msgspec.Struct, frozen=True, tag_field="type", tag=True, omit_defaults=True):
    """Base of all tagged messages."""


# --- Between hosts: key ownership of generation requests -----------------------------------------


class ClaimKey(Base):
    """Asks the owner of a request key whether the request is being served already."""

    request_id: str
    attempt_id: str
    claimant: Owner
    config_version: int = 0
    deadline: float = 0.0


class KeyClaimed(Base):
    """Answers `ClaimKey`: the claimant serves the key from now on.

    ``running`` names the earlier serving host, attempt and decode engine where a stream exists.
    """

    request_id: str
    attempt_id: str
    serving: Owner | None = None
    running_attempt: str = ""
    engine: str = ""


class KeyServed(Base):
    """Tells the owner of a key which engine runs the serving host's attempt."""

    request_id: str
    attempt_id: str
    serving: Owner
    engine: str = ""
    ended: bool = False


class Supersede(Base):
    """Tells a serving host that a newer call took the request over; it must not answer it."""

    request_id: str
    attempt_id: str
    by: Owner


class Superseded(Base):
    """Answers `Supersede`: the old call is closed unanswered, its stream is kept at the engine.

    ``answered`` is true where the old call had its whole answer already.
    """

    request_id: str
    attempt_id: str
    running_attempt: str = ""
    engine: str = ""
    answered: bool = False


class ConfirmKey(Base):
    """Asks a host whether another than the sender, which was paused, serves a request by now."""

    request_id: str
    attempt_id: str
    serving: Owner


class KeyConfirmed(Base):
    """Answers `ConfirmKey`; ``valid`` is false where another host serves the key by now."""

    request_id: str
    attempt_id: str
    valid: bool


# --- Between hosts: reservations at an engine's coordinator --------------------------------------


class Reserve(Base):
    """Asks the coordinator of a pool for a decode slot and a share of a transfer link.

    A pool is the engines of one model in one availability zone. ``engine`` is empty where any
    engine of the pool will do. ``target`` is the Unix time by which the first output is due.
    ``pieces`` is a `piece_ladder`: the chain's hashes at a few lengths. A ``redirected`` request
    comes from a full pool and is not sent on.
    """

    request_id: str
    attempt_id: str
    owner: Owner
    engine: str
    config_version: int
    deadline: float
    priority: int = 0
    customer: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0
    pieces: tuple[int, ...] = ()
    model: str = ""
    zone: str = ""
    target: float = 0.0
    may_wait: bool = False
    avoid: tuple[str, ...] = ()
    redirected: bool = False


class Granted(Base):
    """Answers `Reserve`: the slot is held for the attempt until released or not renewed.

    ``free`` slots of the pool are left, and a request that came now would wait ``wait`` seconds.
    """

    request_id: str
    attempt_id: str
    engine: str
    prefill_engine: str
    cached_tokens: int = 0
    free: int = 0
    wait: float = 0.0


class Denied(Base):
    """Answers `Reserve`: no slot; ``wait`` seconds later one is likely.

    ``unknown`` answers a `Renew` of a queued attempt that the coordinator does not know, as after
    its restart: the attempt has to be reserved again. ``elsewhere`` names an availability zone
    whose pool has slots free.
    """

    request_id: str
    attempt_id: str
    engine: str
    wait: float = 0.0
    unknown: bool = False
    elsewhere: str = ""


class PoolLoad(Base):
    """Tells the coordinators of a model's other pools how loaded the sender's pool is.

    ``free`` slots may be granted now; ``wait`` is what a request that came now would wait.
    """

    model: str
    zone: str
    free: int = 0
    wait: float = 0.0


class Advanced(Base):
    """Tells a coordinator that a reserved attempt has reached its next phase.

    ``phase`` is ``transfer`` once the prefill is done, and ``decode`` at the first output.
    ``phase`` is ``failed`` or ``refused`` where the phase it was in went wrong instead. ``seconds``
    is how long the phase before took; of ``tokens`` in the prompt, ``cached`` were not prefilled.
    """

    attempt_id: str
    model: str
    zone: str
    phase: str
    seconds: float = 0.0
    tokens: int = 0
    cached: int = 0


class Release(Base):
    """Gives a reservation back."""

    request_id: str
    attempt_id: str
    owner: Owner
    engine: str
    model: str = ""
    zone: str = ""


class Renew(Base):
    """Renews all reservations that an owner holds at the coordinator of one pool.

    ``attempts`` lists (engine, request id, attempt id, slot is in use). A queued attempt has no
    engine yet.
    """

    owner: Owner
    attempts: tuple[tuple[str, str, str, bool], ...] = ()
    model: str = ""
    zone: str = ""


# --- Between hosts: limits of the plans ----------------------------------------------------------


class LimitAsk(Base):
    """Asks the host that keeps a customer's budget to let requests in.

    Args:
        customer: Name of the customer.
        owner: The asking run of a host.
        requests: Requests that wait there.
        tokens: Prompt and output tokens of all of them.
        in_flight: Requests of the customer that the host serves already.
        refund: Tokens charged before and not used.
    """

    customer: str
    owner: Owner
    requests: int
    tokens: int
    in_flight: int = 0
    refund: int = 0


class LimitGiven(Base):
    """Answers `LimitAsk`: so many requests may go on; the others may ask in ``wait`` seconds.

    ``share`` is the part of the customer's requests that lately came from the asking host.
    """

    customer: str
    requests: int
    wait: float = 0.0
    share: float = 0.0


class LimitReport(Base):
    """Tells the keeper of budgets what a host has in flight: (customer, requests, refund)."""

    owner: Owner
    entries: tuple[tuple[str, int, int], ...] = ()


# --- Between hosts: membership and configuration -------------------------------------------------


class Heartbeat(Base):
    """Periodic sign of life within an availability zone.

    ``version`` and ``offset`` are the newest configuration record the sender has in force.
    ``leaving`` lists endpoints that are leaving, each with the seconds since the first sign.
    """

    owner: Owner
    zone: str
    sequence: int
    version: int = 0
    offset: int = -1
    stopping: bool = False
    leaving: tuple[tuple[str, float], ...] = ()


class HostSeen(Base):
    """Tells all hosts of a zone what a watcher of ``host`` saw change.

    ``state`` is ``live``, ``silent``, ``dead`` or ``stopping``.
    """

    host: Owner
    state: str


class AskConfiguration(Base):
    """Asks a host for the records that lead from a version to the one it has in force."""

    after: int


# --- Streams of the log --------------------------------------------------------------------------


class Intent(Base):
    """Record: an attempt wants to run a request that may run only once.

    ``after`` is the epoch that the attempt knew when its call arrived: the offset of the key's last
    effective void, or -1. ``over`` names the winner that a takeover replaces, or is empty. ``born``
    is the Unix time at which the key was made.
    """

    key: str
    attempt_id: str
    owner: Owner
    after: int
    service: str
    digest: str = ""
    born: float = 0.0
    over: str = ""


class Void(Base):
    """Record: an attempt gives up; effective unless another attempt has won the epoch."""

    key: str
    attempt_id: str
    born: float = 0.0


class Outcome(Base):
    """Record: the answer of the attempt that ran; status 0 says that it is not known."""

    key: str
    attempt_id: str
    status: int
    body: str
    content_type: str = "application/json"


class KeyState(msgspec.Struct, frozen=True, omit_defaults=True):
    """What the records of one key come to.

    Args:
        epoch: Offset of the last effective void, or -1.
        winner: Attempt that won the epoch, or empty.
        owner: Host and incarnation of the winner.
        fence: Offset of the winner's intent; its fencing number.
        since: Time at which the log took the winner's intent, in Unix seconds.
        earlier: Winners of the epoch that a takeover replaced.
        voided: Attempts whose own voids were effective, the newest last.
        status: HTTP status of the recorded answer, 0 for an unknown outcome, or -1 for none.
        body: Body of the recorded answer.
        content_type: Media type of the recorded answer.
        service: Service that the winner calls.
        digest: Digest of the winner's request.
        born: Unix time at which the key was made.
    """

    epoch: int = -1
    winner: str = ""
    owner: Owner | None = None
    fence: int = -1
    since: float = 0.0
    earlier: tuple[str, ...] = ()
    voided: tuple[str, ...] = ()
    status: int = -1
    body: str = ""
    content_type: str = "application/json"
    service: str = ""
    digest: str = ""
    born: float = 0.0


class Checkpoint(Base):
    """Record: the folded state of live keys up to ``upto``, so that older records may expire.

    A checkpoint without entries in the stream of checkpoints points to one: ``upto`` is the offset
    at which a reader has to begin.
    """

    upto: int
    entries: tuple[tuple[str, KeyState], ...] = ()


# --- Between hosts: memory that nobody serves ----------------------------------------------------


class ServedAsk(Base):
    """Asks the owner of attempts that hold memory at an engine whether it still serves them."""

    engine: str
    owner: Owner
    attempts: tuple[str, ...] = ()


class Unserved(Base):
    """Answers `ServedAsk` with the attempts that the asked host does not serve."""

    engine: str
    owner: Owner
    attempts: tuple[str, ...] = ()


# --- Between hosts: keys of work that may run only once ------------------------------------------


class KeyAsk(Base):
    """Asks the coordinator of a shard to append a record and to tell the key's state.

    The asking host is told at once, and again at each change for a while.
    """

    shard: int
    key: str
    owner: Owner
    record: Intent | Void | Outcome | None = None


class KeyTold(Base):
    """Answers `KeyAsk`: the key's state as of all records before ``position``."""

    shard: int
    key: str
    position: int
    found: KeyState


class Configuration(Base):
    """Record: one version of the operators' two lists, or the difference to the one it replaces.

    ``replaces`` is the offset-independent version number that this record follows. ``plans`` and
    ``allowances`` hold JSON text. With ``partial``, they hold only changed entries and
    ``removed`` lists the names of removed ones.
    """

    version: int
    replaces: int
    author: str
    plans: str
    allowances: str
    partial: bool = False
    removed: tuple[str, ...] = ()
    digest: str = ""
    signature: str = ""
    key_id: str = ""


class ConfigurationCopy(Base):
    """The signed records that lead to the version in force after offset ``upto``, unchanged.

    Hosts send it to each other in answer to `AskConfiguration`, and append it to the log before the
    originals expire. ``records`` begins with a full record, or with the one after the version asked
    for.
    """

    upto: int
    version: int
    records: tuple[str, ...] = ()


class LeaseClaim(Base):
    """Record: an owner claims the lease of a zone's model; its offset is the fencing number.

    ``term`` is in seconds, and ``after`` the offset of the last valid claim that the owner read.
    """

    zone: str
    model: str
    owner: Owner
    term: float
    after: int


Message = (
    ClaimKey
    | KeyClaimed
    | KeyServed
    | Supersede
    | Superseded
    | ConfirmKey
    | KeyConfirmed
    | Reserve
    | Granted
    | Denied
    | PoolLoad
    | LimitAsk
    | LimitGiven
    | LimitReport
    | Advanced
    | Release
    | Renew
    | Heartbeat
    | HostSeen
    | AskConfiguration
    | ServedAsk
    | Unserved
    | KeyAsk
    | KeyTold
    | Intent
    | Void
    | Outcome
    | Checkpoint
    | Configuration
    | ConfigurationCopy
    | LeaseClaim
)


class Envelope(msgspec.Struct, frozen=True):
    """A batch of messages from one host to another."""

    sender: Owner
    zone: str
    messages: tuple[Message, ...]


# --- Endpoint and platform interfaces (HTTP bodies) ----------------------------------------------


class HostEntry(msgspec.Struct, frozen=True):
    """One line of the host list.

    ``kind`` is ``entry``, ``engine`` or ``service``. ``service`` names what an endpoint serves.
    """

    name: str
    kind: str
    zone: str
    address: str
    service: str = ""
    leaving: bool = False


class StreamReport(msgspec.Struct, frozen=True):
    """One request that an engine holds memory for."""

    request_id: str
    attempt_id: str
    owner: str
    phase: str
    offset: int = 0


class EngineReport(msgspec.Struct, frozen=True):
    """An engine's own account of its load, as of ``sequence``.

    ``prefill_rate`` is in tokens/s, ``link_rate`` in bytes/s, ``decode_interval`` in seconds
    between two outputs of one stream at the present batch size. ``versions`` are those of
    ``models``, in the same order, where the engine tells them.
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
    part of the context, so that a decode can go on after it.
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
    """Body of ``POST /v1/decode`` at an engine; it imports the KV cache from ``source``.

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

    With ``takeover`` the sender becomes the owner, and an older reader gets a last frame with
    finish ``superseded``. Without, the engine answers 409 to any but the present owner.
    """

    request_id: str
    attempt_id: str
    owner: str
    offset: int = 0
    takeover: bool = False


class CancelAsk(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/cancel``: forget the attempt and free its memory. Idempotent."""

    request_id: str
    attempt_id: str


class CancelAnswer(msgspec.Struct, frozen=True):
    """Answer of ``POST /v1/cancel``; ``gone`` is true once no memory is held."""

    gone: bool


class OrderAsk(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/orders``: bring the engine to this state.

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


class LogAppend(msgspec.Struct, frozen=True):
    """Body of ``POST /streams/{stream}/append`` at the log service."""

    records: tuple[str, ...]


class LogAppendAnswer(msgspec.Struct, frozen=True):
    """Answer of an append: the offset of its first record."""

    offset: int


class LogRecord(msgspec.Struct, frozen=True):
    """One record read from the log; ``time`` is its append time in Unix seconds."""

    offset: int
    time: float
    data: str


class LogPage(msgspec.Struct, frozen=True):
    """Answer of ``GET /streams/{stream}?from=N&wait=S``.

    ``first`` is the oldest offset still kept, ``end`` the offset that the next append will get.
    """

    first: int
    end: int
    records: tuple[LogRecord, ...] = ()
