"""Messages between hosts about which host serves a generation's request key."""

from ._base import Base, Owner


class ClaimKey(Base):
    """Claims a request key for a host, and asks the key's owner whether it is served already."""

    request_id: str
    attempt_id: str
    claimant: Owner
    config_version: int = 0
    deadline: float = 0.0


class KeyClaimed(Base):
    """Answers `ClaimKey`: the claimant serves the key from now on.

    ``serving``, ``running_attempt`` and ``engine`` name the previous serving host, its attempt and
    its decode engine if a stream exists.
    """

    request_id: str
    attempt_id: str
    serving: Owner | None = None
    running_attempt: str = ""
    engine: str = ""


class KeyServed(Base):
    """Reports to the owner of a key which engine runs the serving host's attempt."""

    request_id: str
    attempt_id: str
    serving: Owner
    engine: str = ""
    ended: bool = False


class Supersede(Base):
    """Notifies a serving host that a newer call took over the request; the old gets no answer."""

    request_id: str
    attempt_id: str
    by: Owner


class Superseded(Base):
    """Answers `Supersede`: the old call is closed unanswered, and the engine keeps its stream.

    ``answered`` is true if the old call already had its whole answer.
    """

    request_id: str
    attempt_id: str
    running_attempt: str = ""
    engine: str = ""
    answered: bool = False


class ConfirmKey(Base):
    """Asks a host whether a request of the sender, which was paused, is served elsewhere by now."""

    request_id: str
    attempt_id: str
    serving: Owner


class KeyConfirmed(Base):
    """Answers `ConfirmKey`; ``valid`` is false if another host serves the key by now."""

    request_id: str
    attempt_id: str
    valid: bool
