"""The ``wasabiwick`` command line: every command of the modules named ``_cli_*``."""

import importlib
import pkgutil
import types

import click

PREFIX = "_cli_"


@click.group()
def main() -> None:
    """Run and operate wasabiwick, a router for separate prefill and decode pools."""


def _add_commands() -> None:
    package = importlib.import_module(__package__)
    for found in pkgutil.iter_modules(package.__path__):
        if found.name.startswith(PREFIX):
            module = importlib.import_module(f".{found.name}", __package__)
            _add_from(module)


def _add_from(module: types.ModuleType) -> None:
    own = [value for value in vars(module).values() if _is_command_of(module, value)]
    nested = [
        one for group in own if isinstance(group, click.Group) for one in group.commands.values()
    ]
    for command in own:
        if command not in nested:
            main.add_command(command)


def _is_command_of(module: types.ModuleType, value: object) -> bool:
    return isinstance(value, click.Command) and value.callback.__module__ == module.__name__


_add_commands()
