"""HTTP router for separate prefill and decode pools of LLM engines, as a library."""

from ._errors import Failure, Reason
from ._reducer import reduce
from ._settings import Settings
from ._state import State
from ._verdict import Verdict

__all__ = ["Failure", "Reason", "Settings", "State", "Verdict", "reduce"]
