"""Small stand-ins for engines, services and the platform, for demos and tests.

Each is a process of its own that speaks the HTTP interface of the real thing and takes faults over
``POST /control``.
"""

from . import engine, host_list, log_service, service, weight_store
from ._serve import registry, run

__all__ = ["engine", "host_list", "log_service", "registry", "run", "service", "weight_store"]
