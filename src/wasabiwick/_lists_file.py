"""Reading, checking and writing of the operators' two lists as YAML files.

The files have the same structure as a configuration record: ``plans.yaml`` maps customers to their
plan and keys, ``allowances.yaml`` has the sections ``plans``, ``services`` and ``models``.
"""

import pathlib
import typing

import yaml

from ._configuration import SECTIONS, Entries
from ._lists import Customer, ModelTraits, Plan, ServiceTraits
from ._schema import Fault, read_yaml
from ._settings_file import read_text


class Allowances:
    """Content of ``allowances.yaml``, each section by name.

    Args:
        plans: What each plan may use.
        services: What operators declare about plain services.
        models: What operators declare about models.
    """

    __slots__ = ("plans", "services", "models")

    def __init__(
        self,
        *,
        plans: dict[str, Plan],
        services: dict[str, ServiceTraits] | None = None,
        models: dict[str, ModelTraits] | None = None,
    ) -> None:
        self.plans = plans
        self.services = services or {}
        self.models = models or {}


def check_lists(plans_text: str, allowances_text: str) -> list[Fault]:
    """Check both lists, first each alone and then against each other.

    Args:
        plans_text: YAML of the customers and their plans.
        allowances_text: YAML of what the plans may use.

    Returns:
        All faults. A fault's path begins with the list's name; its line is the line in that list.
    """
    customers = read_yaml(plans_text, dict[str, Customer])
    allowances = read_yaml(allowances_text, Allowances)
    faults = [*_faults_of("plans", customers), *_faults_of("allowances", allowances)]
    if isinstance(allowances, Allowances):
        faults.extend(_check_plan_references(allowances, allowances_text))
        if isinstance(customers, dict):
            faults.extend(_check_customers(customers, allowances, plans_text))
    return faults


def read_lists(plans_text: str, allowances_text: str) -> Entries:
    """Return the entries of two valid lists, with all defaults written out."""
    customers = read_yaml(plans_text, dict[str, Customer])
    allowances = read_yaml(allowances_text, Allowances)
    named = {
        "customers": customers,
        "plans": allowances.plans,
        "services": allowances.services,
        "models": allowances.models,
    }
    return {
        section: {name: _fields_of(one) for name, one in named[section].items()}
        for section in SECTIONS
    }


def _fields_of(one: object) -> dict:
    return {name: _to_builtin(getattr(one, name)) for name in one.__slots__ if name != "name"}


def _to_builtin(value: object) -> object:
    if isinstance(value, frozenset):
        return sorted(value)
    return list(value) if isinstance(value, tuple) else value


def _faults_of(name: str, result: object) -> typing.Iterator[Fault]:
    if isinstance(result, list):
        for fault in result:
            yield Fault(path=f"{name}.{fault.path}", line=fault.line, text=fault.text)


def _check_plan_references(allowances: Allowances, text: str) -> typing.Iterator[Fault]:
    for plan in allowances.plans.values():
        for section, used, known in (
            ("models", plan.models, allowances.models),
            ("services", plan.services, allowances.services),
        ):
            for name in sorted(used - known.keys()):
                place = ("plans", plan.name, section)
                yield Fault(
                    path=".".join(("allowances", *place)),
                    line=_line_of(text, place),
                    text=f'{section[:-1]} "{name}" does not exist',
                )


def _check_customers(
    customers: dict[str, Customer], allowances: Allowances, text: str
) -> typing.Iterator[Fault]:
    holders: dict[str, str] = {}
    for customer in customers.values():
        if customer.plan not in allowances.plans:
            yield Fault(
                path=f"plans.{customer.name}.plan",
                line=_line_of(text, (customer.name, "plan")),
                text=f'plan "{customer.plan}" does not exist in allowances',
            )
        for key in customer.keys:
            holder = holders.setdefault(key, customer.name)
            if holder != customer.name:
                yield Fault(
                    path=f"plans.{customer.name}.keys",
                    line=_line_of(text, (customer.name, "keys")),
                    text=f'key is also held by customer "{holder}"',
                )


def _line_of(text: str, place: tuple[str, ...]) -> int:
    node = yaml.compose(text, Loader=yaml.SafeLoader)
    for key in place:
        node = next(value for name, value in node.value if name.value == key)
    return node.start_mark.line + 1


def to_yaml(entries: Entries) -> tuple[str, str]:
    """Return these entries as the texts of ``plans.yaml`` and ``allowances.yaml``."""
    allowances = {section: entries[section] for section in SECTIONS if section != "customers"}
    return _dump(entries["customers"]), _dump(allowances)


def _dump(value: object) -> str:
    return yaml.safe_dump(value, sort_keys=True, default_flow_style=None)


def check_plans(path: pathlib.Path) -> list[Fault]:
    """Check a ``plans.yaml`` alone; `check_lists` also checks it against the allowances."""
    return _check_file(path, dict[str, Customer])


def check_allowances(path: pathlib.Path) -> list[Fault]:
    """Check an ``allowances.yaml`` alone."""
    return _check_file(path, Allowances)


def _check_file(path: pathlib.Path, kind: typing.Any) -> list[Fault]:
    text = read_text(path)
    if isinstance(text, Fault):
        return [text]
    found = read_yaml(text, kind)
    if isinstance(found, Allowances):
        return list(_check_plan_references(found, text))
    return found if isinstance(found, list) else []
