"""Records that hosts and operators append to streams of the log."""

import msgspec

from ._base import Base, Owner


class Intent(Base):
    """Record: an attempt intends to run a request that may run only once.

    ``after`` is the epoch that the attempt knew when its call arrived: the offset of the key's last
    effective void, or -1. ``over`` names the winner that this attempt wants to replace, or is
    empty. ``born`` is the Unix time at which the key was created.
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
    """Record: an attempt gives up. Has no effect if another attempt has won the key's epoch."""

    key: str
    attempt_id: str
    born: float = 0.0


class Outcome(Base):
    """Record: the answer to the attempt that ran; status 0 means that it is not known."""

    key: str
    attempt_id: str
    status: int
    body: str
    content_type: str = "application/json"


class KeyState(msgspec.Struct, frozen=True, omit_defaults=True):
    """The state of one key, computed from its records in order.

    An epoch begins with each void record that takes effect; in each epoch, one attempt may win.

    Args:
        epoch: Offset of the last void that took effect, or -1.
        winner: The attempt that may run the request in this epoch, or empty.
        owner: Host and incarnation of the winner.
        fence: Offset of the winner's intent, which is its fencing token.
        since: Time at which the log took the winner's intent, in Unix seconds.
        earlier: Earlier winners of this epoch, which other attempts replaced.
        voided: Attempts whose own voids took effect, the newest last.
        status: HTTP status of the recorded answer, 0 for an unknown outcome, or -1 for none.
        body: Body of the recorded answer.
        content_type: Media type of the recorded answer.
        service: Service that the winner calls.
        digest: Digest of the winner's request.
        born: Unix time at which the key was created.
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
    """Record: the states of live keys up to offset ``upto``, so that older records may expire.

    In the stream of checkpoints, one without entries points to another: ``upto`` is then the offset
    at which a reader has to begin.
    """

    upto: int
    entries: tuple[tuple[str, KeyState], ...] = ()


class Configuration(Base):
    """Record: one version of the operators' two lists, or its difference from the one before.

    ``replaces`` is the version that this record follows, whatever its offset. The lists ``plans``
    and ``allowances`` hold JSON text. With ``partial``, they hold only changed entries and
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


class LeaseClaim(Base):
    """Record: an owner claims the lease of a model in a zone; its offset is the fencing token.

    ``term`` is in seconds, and ``after`` the offset of the last valid claim that the owner read.
    """

    zone: str
    model: str
    owner: Owner
    term: float
    after: int
