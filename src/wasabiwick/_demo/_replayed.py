"""Replays the traces that a demo's hosts recorded, and lists where the replay differs."""

import pathlib

from .._replay import replay
from .._trace import TraceError
from ._site import TRACE_SUFFIX


class Replayed:
    """Result of replaying the traces of all hosts.

    Args:
        folder: Folder of the traces.

    Attributes:
        events: Number of replayed events.
        notes: One text for each trace error, difference, and call with more than one result.
    """

    __slots__ = ("events", "notes")

    def __init__(self, folder: pathlib.Path) -> None:
        self.events = 0
        self.notes: list[str] = []
        for path in sorted(folder.glob(f"*{TRACE_SUFFIX}")):
            self._replay(path)

    def _replay(self, path: pathlib.Path) -> None:
        try:
            result = replay(path)
        except TraceError as exc:
            self.notes.append(str(exc))
            return
        self.events += result.events
        if result.difference:
            self.notes.append(f"{path.name}: {result.difference}")
        for call in result.outcomes.calls.values():
            if len(call.results) > 1:
                self.notes.append(f'{path.name}: call "{call.call_id}" was {call.result}')
