"""``wasabiwick standin``: runs a small stand-in for an engine, a service or the platform."""

import typing

import click
import msgspec

from . import _standins
from ._standins._serve import StandIn


@click.group()
def standin() -> None:
    """Run a stand-in on a loopback port, for demos and tests.

    It prints its address, takes faults over POST /control and shows its state at GET /control.
    """


def _command(name: str, cls: type[StandIn]) -> click.Command:
    def run(port: int, name: str, **fields: typing.Any) -> None:
        _standins.run(cls(name=name, knobs=cls.knobs_type(**fields)), port)

    options = [
        click.Option(["--port"], type=int, default=0, help="0 lets the system pick one."),
        click.Option(["--name"], default=name, help="Name, as in the host list."),
    ]
    options += [one for one in map(_option, msgspec.structs.fields(cls.knobs_type)) if one]
    return click.Command(name, params=options, callback=run, help=cls.__doc__)


def _option(field: msgspec.structs.FieldInfo) -> click.Option | None:
    described = msgspec.inspect.type_info(field.type)
    if not isinstance(described, msgspec.inspect.Metadata):
        return None
    meta = (described.extra_json_schema or {}).get("description", "")
    flag = "--" + field.name.replace("_", "-")
    if isinstance(described.type, msgspec.inspect.BoolType):
        return click.Option([f"{flag}/--no-{flag[2:]}"], default=field.default, help=meta)
    return click.Option(
        [flag], type=type(field.default), default=field.default, show_default=True, help=meta
    )


for _name, _cls in _standins.registry.items():
    standin.add_command(_command(_name.replace("_", "-"), _cls))
