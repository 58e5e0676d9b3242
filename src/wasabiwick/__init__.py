"""HTTP router for separate prefill and decode pools of LLM engines, as a library."""

import importlib

# As in `typing`, whose import takes as long as all else up to where a host keeps its signals.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from ._errors import Failure, Reason
    from ._reducer import reduce
    from ._settings import Settings
    from ._state import State
    from ._verdict import Verdict

__all__ = ["Failure", "Reason", "Settings", "State", "Verdict", "reduce"]

_MODULES = {
    "Failure": "._errors",
    "Reason": "._errors",
    "Settings": "._settings",
    "State": "._state",
    "Verdict": "._verdict",
    "reduce": "._reducer",
}


def __getattr__(name: str) -> object:
    """Import a public name at its first use, so that a host can keep its signals before that."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    value = getattr(importlib.import_module(_MODULES[name], __name__), name)
    globals()[name] = value
    return value
