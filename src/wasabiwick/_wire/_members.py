"""Messages between hosts about membership and configuration."""

from ._base import Base, Owner


class Heartbeat(Base):
    """Periodic liveness message within an availability zone.

    ``version`` and ``offset`` are those of the newest configuration record that the sender has in
    force. ``leaving`` lists endpoints that are leaving, each with the seconds since the first sign
    of that.
    """

    owner: Owner
    zone: str
    sequence: int
    version: int = 0
    offset: int = -1
    stopping: bool = False
    leaving: tuple[tuple[str, float], ...] = ()


class HostSeen(Base):
    """Reports to all hosts of a zone in which state the sender sees ``host``.

    ``state`` is ``live``, ``silent``, ``dead`` or ``stopping``.
    """

    host: Owner
    state: str


class AskConfiguration(Base):
    """Asks a host for the configuration records after a version, up to the one it has in force."""

    after: int


class ConfigurationCopy(Base):
    """The signed records, unchanged, that lead to the version in force after offset ``upto``.

    Hosts send it to each other in answer to `AskConfiguration`, and append it to the log before the
    originals expire. ``records`` starts with a full record, or with the record after the requested
    version.
    """

    upto: int
    version: int
    records: tuple[str, ...] = ()
