"""A whole site on one machine, with mixed calls, failures, and checks of what came of them."""

from ._run import run
from ._stay import serve_site

__all__ = ["run", "serve_site"]
