"""Between hosts: which host serves a generation's key."""

from ._base import Base, Owner


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
