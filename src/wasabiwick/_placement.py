"""Chooses the next order for a pool's engines: to load or unload a model, or to take a role."""

import typing

from ._lists import ModelTraits
from ._wire import EngineReport

LOAD = "load"
UNLOAD = "unload"
ROLE = "role"
BOTH_ROLES = ("prefill", "decode")
LONG_BACKLOG_S = 1.0  # A pool with more queued prefill work than this lacks prefill engines.
SHORT_BACKLOG_S = 0.2  # A pool with less queued prefill work than this can spare a prefill engine.
HIGH_SLOT_USE = 0.9  # With a larger share of its decode slots in use, a pool lacks decode engines.
# With a smaller share of its decode slots in use, a pool can spare a decode engine.
LOW_SLOT_USE = 0.5


class EngineOrder:
    """An order to an engine.

    Args:
        engine: Name of the engine.
        action: ``load``, ``unload`` or ``role``.
        model: Model to load or to unload.
        version: Version of the model.
        roles: Roles that the engine takes.
    """

    __slots__ = ("engine", "action", "model", "version", "roles")

    def __init__(
        self,
        *,
        engine: str,
        action: str,
        model: str,
        version: str,
        roles: typing.Iterable[str] = (),
    ) -> None:
        self.engine = engine
        self.action = action
        self.model = model
        self.version = version
        self.roles = tuple(roles)

    def __repr__(self) -> str:
        return (
            f"EngineOrder({self.engine}, {self.action}, {self.model}, {self.version}, {self.roles})"
        )


def version_of(report: EngineReport, model: str) -> str | None:
    """Return the version at which an engine serves a model: None if not served, "" if unknown."""
    if model not in report.models:
        return None
    index = report.models.index(model)
    return report.versions[index] if index < len(report.versions) else ""


def serves(report: EngineReport, traits: ModelTraits) -> bool:
    """Return whether an engine serves a model at the listed version, or reports no version."""
    return version_of(report, traits.name) in ("", traits.version)


def is_drained(report: EngineReport) -> bool:
    """Return whether an engine holds no requests."""
    return not (report.used or report.queued_prefill_tokens or report.streams)


def next_load(
    traits: ModelTraits, reports: typing.Sequence[EngineReport], busy: typing.Collection[str]
) -> EngineOrder | None:
    """Choose an engine to load a model's version on.

    Engines without the model are preferred. An engine with another version serves no requests
    during the load, so it is chosen only if enough other engines serve the model meanwhile.

    Args:
        traits: The model, as the operators' lists describe it.
        reports: Reports of all engines of the pool.
        busy: Engines with a pending order, which serve no requests.
    """
    idle = [report for report in reports if report.engine not in busy]
    candidates = [report for report in idle if version_of(report, traits.name) is None]
    if candidates:
        return _load_order(traits, min(candidates, key=lambda report: report.engine))
    older = [report for report in idle if not serves(report, traits)]
    if not older:
        return None
    replaced = min(older, key=lambda report: (report.used, report.engine))
    others = [
        report
        for report in idle
        if report is not replaced and version_of(report, traits.name) is not None
    ]
    enough = max(1, min(traits.minimum, len(reports) - 1))
    return _load_order(traits, replaced) if len(others) >= enough else None


def _load_order(traits: ModelTraits, report: EngineReport) -> EngineOrder:
    return EngineOrder(engine=report.engine, action=LOAD, model=traits.name, version=traits.version)


def next_unload(
    model: str,
    known: typing.Collection[str],
    reports: typing.Sequence[EngineReport],
    busy: typing.Collection[str],
) -> EngineOrder | None:
    """Choose a drained engine to unload a model that the operators' lists no longer name.

    Args:
        model: The pool's model, which is never unloaded.
        known: Models that the operators' lists name.
        reports: Reports of all engines of the pool.
        busy: Engines with a pending order.
    """
    for report in reports:
        if report.engine in busy or not is_drained(report):
            continue
        for other in report.models:
            if other != model and other not in known:
                version = version_of(report, other) or ""
                return EngineOrder(
                    engine=report.engine, action=UNLOAD, model=other, version=version
                )
    return None


def next_role(
    model: str, reports: typing.Sequence[EngineReport], busy: typing.Collection[str]
) -> EngineOrder | None:
    """Choose a drained engine to take both roles, if the pool lacks engines for one of them.

    Args:
        model: The pool's model.
        reports: Reports of all engines of the pool.
        busy: Engines with a pending order.
    """
    lacking = _lacking_role(reports)
    if not lacking:
        return None
    for report in sorted(reports, key=lambda report: report.engine):
        if report.engine not in busy and lacking not in report.roles and is_drained(report):
            return EngineOrder(
                engine=report.engine, action=ROLE, model=model, version="", roles=BOTH_ROLES
            )
    return None


def _lacking_role(reports: typing.Sequence[EngineReport]) -> str:
    prefill = [report for report in reports if "prefill" in report.roles]
    decode = [report for report in reports if "decode" in report.roles]
    if not prefill or not decode:
        return "" if not reports else "decode" if prefill else "prefill"
    rate = sum(report.prefill_rate for report in prefill)
    queued = sum(report.queued_prefill_tokens for report in prefill)
    backlog = queued / rate if rate else 0.0
    used = sum(report.used for report in decode) / max(1, sum(report.slots for report in decode))
    if backlog > LONG_BACKLOG_S and used < LOW_SLOT_USE:
        return "prefill"
    if used > HIGH_SLOT_USE and backlog < SHORT_BACKLOG_S:
        return "decode"
    return ""
