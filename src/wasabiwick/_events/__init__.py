"""Events: everything that can reach the reducer.

Every event carries ``at``, the host's monotonic clock in seconds. Internal events are raised by one
handler for others and are handled within the same call of the reducer.
"""

from ._base import (
    Call,
    Event,
)
from ._endpoints import (
    AttemptEvent,
    AttemptFailed,
    CacheChanged,
    CancelAnswered,
    EngineReported,
    EngineSilent,
    OrderAnswered,
    PrefillDone,
    ServiceAnswered,
    StreamEnded,
    StreamProgress,
)
from ._host import (
    Booted,
    CallAnswered,
    CallArrived,
    CallerGone,
    StopAsked,
    TimerFired,
)
from ._internal import (
    AdmissionGiven,
    AdmissionWanted,
    HostPaused,
    ListsChanged,
    MembersChanged,
    RequestClosed,
    RequestDenied,
    RequestEvent,
    ServiceWanted,
    SlotAdopted,
    SlotFreed,
    SlotHeld,
    SlotWanted,
)
from ._platform import (
    HostListFailed,
    HostsListed,
    LogAppended,
    LogAppendFailed,
    LogRead,
    LogReadFailed,
    PeerFailed,
    PeerMessage,
)

__all__ = [
    "AdmissionGiven",
    "AdmissionWanted",
    "AttemptEvent",
    "AttemptFailed",
    "Booted",
    "CacheChanged",
    "Call",
    "CallAnswered",
    "CallArrived",
    "CallerGone",
    "CancelAnswered",
    "EngineReported",
    "EngineSilent",
    "Event",
    "HostListFailed",
    "HostPaused",
    "HostsListed",
    "ListsChanged",
    "LogAppendFailed",
    "LogAppended",
    "LogRead",
    "LogReadFailed",
    "MembersChanged",
    "OrderAnswered",
    "PeerFailed",
    "PeerMessage",
    "PrefillDone",
    "RequestClosed",
    "RequestDenied",
    "RequestEvent",
    "ServiceAnswered",
    "ServiceWanted",
    "SlotAdopted",
    "SlotFreed",
    "SlotHeld",
    "SlotWanted",
    "StopAsked",
    "StreamEnded",
    "StreamProgress",
    "TimerFired",
]
