"""Local site of real processes, and a demo that sends calls, causes failures and checks results."""

from ._run import run
from ._stay import serve_site

__all__ = ["run", "serve_site"]
