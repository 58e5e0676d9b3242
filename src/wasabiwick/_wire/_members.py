"""Between hosts: membership and configuration."""

from ._base import Base, Owner


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


class ConfigurationCopy(Base):
    """The signed records that lead to the version in force after offset ``upto``, unchanged.

    Hosts send it to each other in answer to `AskConfiguration`, and append it to the log before the
    originals expire. ``records`` begins with a full record, or with the one after the version asked
    for.
    """

    upto: int
    version: int
    records: tuple[str, ...] = ()
