"""Load generator: callers that call a router or an engine, and check and time each answer."""

from ._caller import Ask, Caller, Reply, new_key
from ._measure import Tally, Totals
from ._run import Plan, run

__all__ = ["Ask", "Caller", "Plan", "Reply", "Tally", "Totals", "new_key", "run"]
