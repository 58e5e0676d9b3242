"""Between hosts: keys of work that may run only once, and memory that nobody serves."""

from ._base import Base, Owner
from ._records import Intent, KeyState, Outcome, Void


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
