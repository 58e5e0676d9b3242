"""Messages between hosts about reservations at a pool's coordinator."""

from ._base import Base, Owner


class Reserve(Base):
    """Asks the coordinator of a pool for a decode slot and a share of a transfer link.

    A pool is the engines of one model in one availability zone. ``engine`` is empty where any
    engine of the pool will do. ``target`` is the Unix time by which the first output is due.
    ``pieces`` are the prompt's `prefix_hashes`, hashes of its prefixes of a few lengths. A
    ``redirected`` request comes from a full pool and is not redirected again.
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
    """Answers `Reserve`: a slot is reserved until it is released or no longer renewed.

    ``free`` slots of the pool are left; a request that arrived now would wait ``wait`` seconds.
    """

    request_id: str
    attempt_id: str
    engine: str
    prefill_engine: str
    cached_tokens: int = 0
    free: int = 0
    wait: float = 0.0


class Denied(Base):
    """Answers `Reserve`: no slot is free; one will probably become free in ``wait`` seconds.

    ``unknown`` answers a `Renew` of a queued attempt that the coordinator does not know, for
    example after its restart: the attempt has to be reserved again. ``elsewhere`` names an
    availability zone whose pool has free slots.
    """

    request_id: str
    attempt_id: str
    engine: str
    wait: float = 0.0
    unknown: bool = False
    elsewhere: str = ""


class PoolLoad(Base):
    """Reports the load of the sender's pool to the coordinators of a model's other pools.

    ``free`` slots may be granted now; a request that arrived now would wait ``wait`` seconds.
    """

    model: str
    zone: str
    free: int = 0
    wait: float = 0.0


class Advanced(Base):
    """Reports to a coordinator that a reserved attempt has reached its next phase.

    ``phase`` is ``transfer`` once the prefill is done, and ``decode`` at the first output. It is
    ``failed`` or ``refused`` if the current phase failed or was refused instead. ``seconds`` is how
    long the previous phase took. The prompt has ``tokens`` tokens, of which ``cached`` needed no
    prefill.
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
