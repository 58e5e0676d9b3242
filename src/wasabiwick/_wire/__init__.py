"""Wire formats: messages between hosts, log records, and bodies for engines and the platform.

Messages and log records are tagged `msgspec.Struct`, encoded as JSON objects whose ``type`` names
them. Unknown fields are ignored, so that hosts of adjacent versions understand each other.
"""

import msgspec

from ._base import (
    Base,
    Owner,
)
from ._effects import (
    KeyAsk,
    KeyTold,
    ServedAsk,
    Unserved,
)
from ._engines import (
    CacheEvent,
    CancelAnswer,
    CancelAsk,
    DecodeAsk,
    EngineReport,
    Frame,
    OrderAsk,
    PrefillAnswer,
    PrefillAsk,
    ResumeAsk,
    StreamReport,
)
from ._keys import (
    ClaimKey,
    ConfirmKey,
    KeyClaimed,
    KeyConfirmed,
    KeyServed,
    Supersede,
    Superseded,
)
from ._limits import (
    LimitAsk,
    LimitGiven,
    LimitReport,
)
from ._members import (
    AskConfiguration,
    ConfigurationCopy,
    Heartbeat,
    HostSeen,
)
from ._platform import (
    HostEntry,
    LogAppend,
    LogAppendAnswer,
    LogPage,
    LogRecord,
)
from ._records import (
    Checkpoint,
    Configuration,
    Intent,
    KeyState,
    LeaseClaim,
    Outcome,
    Void,
)
from ._slots import (
    Advanced,
    Denied,
    Granted,
    PoolLoad,
    Release,
    Renew,
    Reserve,
)

Message = (
    ClaimKey
    | KeyClaimed
    | KeyServed
    | Supersede
    | Superseded
    | ConfirmKey
    | KeyConfirmed
    | Reserve
    | Granted
    | Denied
    | PoolLoad
    | LimitAsk
    | LimitGiven
    | LimitReport
    | Advanced
    | Release
    | Renew
    | Heartbeat
    | HostSeen
    | AskConfiguration
    | ServedAsk
    | Unserved
    | KeyAsk
    | KeyTold
    | Intent
    | Void
    | Outcome
    | Checkpoint
    | Configuration
    | ConfigurationCopy
    | LeaseClaim
)


class Envelope(msgspec.Struct, frozen=True):
    """A batch of messages from one host to another."""

    sender: Owner
    zone: str
    messages: tuple[Message, ...]


__all__ = [
    "Advanced",
    "AskConfiguration",
    "Base",
    "CacheEvent",
    "CancelAnswer",
    "CancelAsk",
    "Checkpoint",
    "ClaimKey",
    "Configuration",
    "ConfigurationCopy",
    "ConfirmKey",
    "DecodeAsk",
    "Denied",
    "EngineReport",
    "Envelope",
    "Frame",
    "Granted",
    "Heartbeat",
    "HostEntry",
    "HostSeen",
    "Intent",
    "KeyAsk",
    "KeyClaimed",
    "KeyConfirmed",
    "KeyServed",
    "KeyState",
    "KeyTold",
    "LeaseClaim",
    "LimitAsk",
    "LimitGiven",
    "LimitReport",
    "LogAppend",
    "LogAppendAnswer",
    "LogPage",
    "LogRecord",
    "Message",
    "OrderAsk",
    "Outcome",
    "Owner",
    "PoolLoad",
    "PrefillAnswer",
    "PrefillAsk",
    "Release",
    "Renew",
    "Reserve",
    "ResumeAsk",
    "ServedAsk",
    "StreamReport",
    "Supersede",
    "Superseded",
    "Unserved",
    "Void",
]
