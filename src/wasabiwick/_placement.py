"""Which order the engines of one pool need next: model, version and roles, from their reports."""

import typing

from ._lists import ModelTraits
from ._wire import EngineReport

LOAD = "load"
UNLOAD = "unload"
ROLE = "role"
BOTH_ROLES = ("prefill", "decode")
LONG_BACKLOG = 1.0  # Seconds of queued prefill at which a pool lacks prefill engines.
SHORT_BACKLOG = 0.2
FULL_SHARE = 0.9  # Share of the decode slots in use at which a pool lacks decode engines.
SPARE_SHARE = 0.5


class EngineOrder:
    """An order that an engine needs.

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
    """Return the version of a model that an engine serves; empty if it tells none, None if none."""
    if model not in report.models:
        return None
    at = report.models.index(model)
    return report.versions[at] if at < len(report.versions) else ""


def serves(report: EngineReport, traits: ModelTraits) -> bool:
    """Tell whether an engine serves a model at the version that the lists name."""
    return version_of(report, traits.name) in ("", traits.version)


def is_drained(report: EngineReport) -> bool:
    """Tell whether an engine holds no request at all."""
    return not (report.used or report.queued_prefill_tokens or report.streams)


def next_load(
    traits: ModelTraits, reports: typing.Sequence[EngineReport], busy: typing.Collection[str]
) -> EngineOrder | None:
    """Choose an engine to load a model's version on.

    Engines without the model come first. One that serves another version is taken out of service
    for the load, so that enough others have to serve the model meanwhile.

    Args:
        traits: The model, as the lists have it.
        reports: Reports of all engines of the pool.
        busy: Engines with an order under way, which serve nobody for now.
    """
    idle = [one for one in reports if one.engine not in busy]
    without = [one for one in idle if version_of(one, traits.name) is None]
    if without:
        return _load(traits, min(without, key=lambda one: one.engine))
    older = [one for one in idle if not serves(one, traits)]
    if not older:
        return None
    chosen = min(older, key=lambda one: (one.used, one.engine))
    others = [one for one in idle if one is not chosen and version_of(one, traits.name) is not None]
    enough = max(1, min(traits.minimum, len(reports) - 1))
    return _load(traits, chosen) if len(others) >= enough else None


def _load(traits: ModelTraits, report: EngineReport) -> EngineOrder:
    return EngineOrder(engine=report.engine, action=LOAD, model=traits.name, version=traits.version)


def next_unload(
    model: str,
    known: typing.Collection[str],
    reports: typing.Sequence[EngineReport],
    busy: typing.Collection[str],
) -> EngineOrder | None:
    """Choose a drained engine that has a model loaded which the lists no longer name.

    Args:
        model: The pool's model, which its engines keep.
        known: Models of the lists.
        reports: Reports of all engines of the pool.
        busy: Engines with an order under way.
    """
    for one in reports:
        if one.engine in busy or not is_drained(one):
            continue
        for other in one.models:
            if other != model and other not in known:
                version = version_of(one, other) or ""
                return EngineOrder(engine=one.engine, action=UNLOAD, model=other, version=version)
    return None


def next_role(
    model: str, reports: typing.Sequence[EngineReport], busy: typing.Collection[str]
) -> EngineOrder | None:
    """Choose a drained engine to take both roles where the pool lacks one of them.

    Args:
        model: The pool's model.
        reports: Reports of all engines of the pool.
        busy: Engines with an order under way.
    """
    lacking = _lacking_role(reports)
    if not lacking:
        return None
    for one in sorted(reports, key=lambda report: report.engine):
        if one.engine not in busy and lacking not in one.roles and is_drained(one):
            return EngineOrder(
                engine=one.engine, action=ROLE, model=model, version="", roles=BOTH_ROLES
            )
    return None


def _lacking_role(reports: typing.Sequence[EngineReport]) -> str:
    prefill = [one for one in reports if "prefill" in one.roles]
    decode = [one for one in reports if "decode" in one.roles]
    if not prefill or not decode:
        return "" if not reports else "decode" if prefill else "prefill"
    rate = sum(one.prefill_rate for one in prefill)
    queued = sum(one.queued_prefill_tokens for one in prefill)
    backlog = queued / rate if rate else 0.0
    used = sum(one.used for one in decode) / max(1, sum(one.slots for one in decode))
    if backlog > LONG_BACKLOG and used < SPARE_SHARE:
        return "prefill"
    if used > FULL_SHARE and backlog < SHORT_BACKLOG:
        return "decode"
    return ""
