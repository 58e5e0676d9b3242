"""Settings files: reading one whole, with every fault in it."""

import pathlib
import typing

from ._schema import Fault, FieldFault, cross_rule, read_yaml
from ._settings import Once, Settings, Timing


def load_settings(path: str | pathlib.Path) -> Settings | list[Fault]:
    """Read and check a settings file.

    Args:
        path: The YAML file.

    Returns:
        The settings, or every fault of the file.
    """
    text = read_text(path)
    return [text] if isinstance(text, Fault) else read_yaml(text, Settings)


def read_text(path: str | pathlib.Path) -> str | Fault:
    """Return a file's text, or the fault that it can't be read."""
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as exc:
        return Fault(path="", line=1, text=f"cannot be read: {exc.strerror}")
    except UnicodeDecodeError as exc:
        return Fault(path="", line=1, text=f"is not UTF-8 at byte {exc.start}")


@cross_rule(Timing)
def _timing_agrees(timing: Timing) -> typing.Iterator[FieldFault]:
    for smaller, larger in (
        ("heartbeat", "peer_suspect"),
        ("peer_suspect", "peer_dead"),
        ("renew", "reservation"),
    ):
        if getattr(timing, smaller) >= getattr(timing, larger):
            yield larger, f"must be longer than timing.{smaller}"


@cross_rule(Once)
def _once_agrees(once: Once) -> typing.Iterator[FieldFault]:
    # A key's records must outlive the age at which the key itself is refused.
    if once.keep <= once.horizon:
        yield "keep", "must be longer than once.horizon"
