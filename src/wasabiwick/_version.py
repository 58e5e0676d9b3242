"""Version of the package, as sent to peers, shown to operators and written to traces."""

VERSION = "0.1.0"
