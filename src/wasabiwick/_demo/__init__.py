"""A whole site on one machine, with mixed calls, failures, and checks of what came of them."""

from ._run import run

__all__ = ["run"]
