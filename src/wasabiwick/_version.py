"""Version of the package, as told to peers, operators and recorded traces."""

VERSION = "0.1.0"
