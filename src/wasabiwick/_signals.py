"""Signals of a host's process, kept from before its slow imports until the host can act on them.

It imports next to nothing, so that a process can keep its signals from nearly its first line on.
"""

import signal
from collections.abc import Callable

# As in `typing`, whose import takes longer than this module's.
TYPE_CHECKING = False
if TYPE_CHECKING:
    import asyncio

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_HELD_SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)
_pending: set[int] = set()


def hold() -> None:
    """Keep signals that stop the host or have it reload its settings, until `hand_over`."""
    for number in _HELD_SIGNALS:
        signal.signal(number, _keep)


def stop_asked() -> bool:
    """Return whether a signal that was kept stops the host."""
    return not _pending.isdisjoint(STOP_SIGNALS)


def hand_over(
    loop: "asyncio.AbstractEventLoop", *, stop: Callable[[], None], reload: Callable[[], None]
) -> None:
    """Have the loop handle signals from now on, and act on those that were kept.

    Args:
        loop: The running event loop.
        stop: Begins the graceful shutdown.
        reload: Reloads the settings.
    """
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stop)
    loop.add_signal_handler(signal.SIGHUP, reload)
    kept = set(_pending)
    _pending.clear()
    # Settings first: they may say how long the shutdown may take.
    if signal.SIGHUP in kept:
        reload()
    if not kept.isdisjoint(STOP_SIGNALS):
        stop()


def _keep(number: int, frame: object) -> None:
    _pending.add(number)
