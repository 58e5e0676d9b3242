"""``wasabiwick standin``: runs a small stand-in for an engine, a service or the platform."""

import typing

import click
import msgspec

from . import _standins
from ._standins._serve import StandIn


@click.group()
def standin() -> None:
    """Run a stand-in on a loopback port, for demos and tests.

    The stand-in prints its address. POST /control injects faults, GET /control shows the state.
    """


def _command(name: str, cls: type[StandIn]) -> click.Command:
    def run(port: int, name: str, **fields: typing.Any) -> None:
        _standins.run(cls(name=name, knobs=cls.knobs_type(**fields)), port)

    options = [
        click.Option(
            ["--port"], type=int, default=0, help="Port to listen on; 0 picks a free one."
        ),
        click.Option(["--name"], default=name, help="Name in the host list."),
    ]
    options += [option for option in map(_option, msgspec.structs.fields(cls.knobs_type)) if option]
    return click.Command(name, params=options, callback=run, help=cls.__doc__)


def _option(field: msgspec.structs.FieldInfo) -> click.Option | None:
    annotated = msgspec.inspect.type_info(field.type)
    if not isinstance(annotated, msgspec.inspect.Metadata):
        return None
    description = (annotated.extra_json_schema or {}).get("description", "")
    flag = "--" + field.name.replace("_", "-")
    if isinstance(annotated.type, msgspec.inspect.BoolType):
        return click.Option([f"{flag}/--no-{flag[2:]}"], default=field.default, help=description)
    return click.Option(
        [flag], type=type(field.default), default=field.default, show_default=True, help=description
    )


for _name, _cls in _standins.registry.items():
    standin.add_command(_command(_name.replace("_", "-"), _cls))
