"""Stand-in servers for engines, services and the platform, for demos and tests.

Each is a process of its own that has the HTTP interface of the real one. Faults are set by
``POST /control``.
"""

from . import engine, host_list, log_service, service, weight_store
from ._serve import registry, run

__all__ = ["engine", "host_list", "log_service", "registry", "run", "service", "weight_store"]
