"""Version of the package, as told to peers, operators and recorded traces."""

import importlib.metadata

VERSION = importlib.metadata.version("wasabiwick")
