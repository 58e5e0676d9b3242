"""Admission: whether a customer's plan lets a request in."""

import typing

from .._events import AdmissionGiven, AdmissionWanted
from .._reducer import Step, handles
from .._state import State


@handles(AdmissionWanted)
def admit(state: State, event: AdmissionWanted) -> typing.Iterator[Step]:
    """Let every request in."""
    yield AdmissionGiven(at=event.at, request_id=event.request_id)
