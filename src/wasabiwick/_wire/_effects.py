"""Messages between hosts about at-most-once calls, and about engine memory that no host uses."""

from ._base import Base, Owner
from ._records import Intent, KeyState, Outcome, Void


class KeyAsk(Base):
    """Asks the coordinator of a shard to append a record and to report the key's state.

    The asking host gets the state at once, and after each change for a limited time.
    """

    shard: int
    key: str
    owner: Owner
    record: Intent | Void | Outcome | None = None


class KeyTold(Base):
    """Answers `KeyAsk` with the key's state after all records before ``position``."""

    shard: int
    key: str
    position: int
    found: KeyState


class ServedAsk(Base):
    """Asks the owner of attempts that hold memory at an engine which of them it still serves."""

    engine: str
    owner: Owner
    attempts: tuple[str, ...] = ()


class Unserved(Base):
    """Answers `ServedAsk` with the attempts that the asked host does not serve."""

    engine: str
    owner: Owner
    attempts: tuple[str, ...] = ()
