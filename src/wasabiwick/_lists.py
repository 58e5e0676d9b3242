"""The operators' two lists: the plans that customers hold, and what each plan may use."""

import collections.abc
import functools
import typing

import msgspec

from . import _schema
from ._fields import Fencing, Hex64, Name, NonNegative, NonNegativeInt


class Customer:
    """One customer: its plan and the hashes of its API keys (SHA-256, hexadecimal)."""

    __slots__ = ("name", "plan", "keys")

    def __init__(self, *, name: Name, plan: Name, keys: typing.Iterable[Hex64] = ()) -> None:
        self.name = name
        self.plan = plan
        self.keys = tuple(keys)


class Plan:
    """What one plan may use.

    Args:
        name: Name of the plan.
        models: Models it may call.
        services: Plain services it may call.
        rate: Requests per second, for one customer on all hosts together.
        burst: Requests that may arrive at once.
        concurrency: Requests in flight, for one customer on all hosts together.
        tokens_per_minute: Prompt and output tokens, for one customer on all hosts together.
        priority: Requests with a higher priority are served first.
        may_wait: Whether the customer's requests stay in a queue rather than being refused early.
    """

    __slots__ = (
        "name",
        "models",
        "services",
        "rate",
        "burst",
        "concurrency",
        "tokens_per_minute",
        "priority",
        "may_wait",
    )

    def __init__(
        self,
        *,
        name: Name,
        models: typing.Iterable[Name] = (),
        services: typing.Iterable[Name] = (),
        rate: NonNegative = 100.0,
        burst: NonNegative = 200.0,
        concurrency: NonNegativeInt = 1_000,
        tokens_per_minute: NonNegative = 10_000_000.0,
        priority: int = 0,
        may_wait: bool = False,
    ) -> None:
        self.name = name
        self.models = frozenset(models)
        self.services = frozenset(services)
        self.rate = rate
        self.burst = burst
        self.concurrency = concurrency
        self.tokens_per_minute = tokens_per_minute
        self.priority = priority
        self.may_wait = may_wait


class ServiceTraits:
    """What operators declare about a plain service.

    Args:
        name: Name of the service.
        idempotent: Patterns, as ``METHOD /path*``, of calls that may be repeated.
        accepts_key: Whether the service itself runs each idempotency key at most once.
        can_query: Whether the service can be asked for the outcome of a call by its key.
        fencing: Whether the service refuses a call with an old fencing number: ``honoured`` or
            ``ignored``.
    """

    __slots__ = ("name", "idempotent", "accepts_key", "can_query", "fencing")

    def __init__(
        self,
        *,
        name: Name,
        idempotent: typing.Iterable[str] = (),
        accepts_key: bool = False,
        can_query: bool = False,
        fencing: Fencing = "ignored",
    ) -> None:
        self.name = name
        self.idempotent = tuple(idempotent)
        self.accepts_key = accepts_key
        self.can_query = can_query
        self.fencing = fencing


class ModelTraits:
    """What operators declare about a model.

    Args:
        name: Name of the model.
        version: Version of its weights.
        minimum: Least number of engines that serve it in each availability zone.
        fencing: Whether its engines refuse an order with an old fencing number: ``honoured`` or
            ``ignored``.
    """

    __slots__ = ("name", "version", "minimum", "fencing")

    def __init__(
        self,
        *,
        name: Name,
        version: Name = "1",
        minimum: NonNegativeInt = 1,
        fencing: Fencing = "ignored",
    ) -> None:
        self.name = name
        self.version = version
        self.minimum = minimum
        self.fencing = fencing


class Lists:
    """One version of both lists, with the look-ups that requests need."""

    __slots__ = ("version", "customers", "plans", "services", "models", "_by_key")

    def __init__(
        self,
        *,
        version: int,
        customers: dict[str, Customer],
        plans: dict[str, Plan],
        services: dict[str, ServiceTraits],
        models: dict[str, ModelTraits],
    ) -> None:
        self.version = version
        self.customers = customers
        self.plans = plans
        self.services = services
        self.models = models
        self._by_key = {key: one for one in customers.values() for key in one.keys}

    def customer_of(self, key_hash: str) -> Customer | None:
        """Return the customer that holds an API key, by the key's hash."""
        return self._by_key.get(key_hash)

    def plan_of(self, customer: Customer) -> Plan | None:
        """Return the plan that a customer holds."""
        return self.plans.get(customer.plan)


_CLASSES = {
    "customers": Customer,
    "plans": Plan,
    "services": ServiceTraits,
    "models": ModelTraits,
}


@functools.cache
def _entry_type(section: str) -> type[msgspec.Struct]:
    """Return the type of a section's JSON entries, derived from the constructor of its class."""
    required, optional = [], []
    for param in _schema.params_of(_CLASSES[section]).values():
        if param.name == "name":
            continue
        sequence = typing.get_origin(param.kind) is collections.abc.Iterable
        kind = tuple[str, ...] if sequence else param.kind
        if param.required:
            required.append((param.name, kind))
        else:
            optional.append((param.name, kind, param.default))
    return msgspec.defstruct(f"{_CLASSES[section].__name__}Entry", [*required, *optional])


def check_entries(section: str, entries: dict[str, dict]) -> None:
    """Check the fields' types in one section's entries.

    Unknown fields are accepted, since a later version may have added them.

    Args:
        section: ``customers``, ``plans``, ``services`` or ``models``.
        entries: Entries by name.

    Raises:
        ValueError: If the section does not exist or a field has a wrong type.
    """
    _build(section, entries)


def _build(section: str, entries: dict[str, dict]) -> dict:
    if section not in _CLASSES:
        raise ValueError(f'section "{section}" does not exist')
    entry_type, cls = _entry_type(section), _CLASSES[section]
    built = {}
    for name, fields in entries.items():
        try:
            entry = msgspec.convert(fields, entry_type)
        except msgspec.ValidationError as exc:
            raise ValueError(f'{section} entry "{name}": {exc}') from None
        built[name] = cls(name=name, **msgspec.structs.asdict(entry))
    return built


def apply_changes(
    lists: Lists | None,
    version: int,
    entries: dict[str, dict[str, dict]],
    removed: typing.Iterable[str] = (),
) -> Lists:
    """Return the lists with some entries added or replaced and others removed.

    Args:
        lists: Lists to start from, or None for empty ones.
        version: Version of the result.
        entries: Entries to add or replace, by section and name.
        removed: Entries to remove, as ``section/name``.

    Raises:
        ValueError: If an entry does not fit its section.
    """
    sections = {name: dict(getattr(lists, name)) if lists else {} for name in _CLASSES}
    for path in removed:
        section, _, name = path.partition("/")
        sections[section].pop(name, None)
    for section, named in entries.items():
        sections.setdefault(section, {}).update(_build(section, named))
    return Lists(version=version, **sections)


def lists_from_json(version: int, plans: str, allowances: str) -> Lists:
    """Build the lists from the JSON texts of a full configuration record.

    Args:
        version: Version of the record.
        plans: JSON object that maps each customer's name to its plan and keys.
        allowances: JSON object with ``plans``, ``services`` and ``models``.

    Returns:
        The lists.

    Raises:
        ValueError: If a text is not valid JSON or lacks the expected structure.
    """
    entries = {"customers": msgspec.json.decode(plans, type=dict[str, dict])}
    entries.update(msgspec.json.decode(allowances, type=dict[str, dict[str, dict]]))
    return apply_changes(None, version, entries)
