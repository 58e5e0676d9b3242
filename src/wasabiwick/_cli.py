"""The ``wasabiwick`` command line: every command of the modules named ``_cli_*``."""

import importlib
import pkgutil
import types

import click

PREFIX = "_cli_"


class CommandGroup(click.Group):
    """A group that imports a command's module only when the command is wanted.

    A daemon starts in half the time if it does not import what only reports and benches need.
    """

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command, from the module of its own name if there is one."""
        modules = _modules()
        own = PREFIX + cmd_name.partition("-")[0]
        if own in modules:
            self._add_from(own)
        if cmd_name not in self.commands:
            self._add_all(modules)
        return super().get_command(ctx, cmd_name)

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        self._add_all(_modules())
        return super().list_commands(ctx)

    def _add_all(self, modules: list[str]) -> None:
        for name in modules:
            self._add_from(name)

    def _add_from(self, name: str) -> None:
        module = importlib.import_module(f".{name}", __package__)
        own = [value for value in vars(module).values() if _is_command_of(module, value)]
        groups = [one for one in own if isinstance(one, click.Group)]
        nested = [command for group in groups for command in group.commands.values()]
        for command in own:
            if command not in nested:
                self.add_command(command)


def _modules() -> list[str]:
    package = importlib.import_module(__package__)
    names = [found.name for found in pkgutil.iter_modules(package.__path__)]
    return [name for name in names if name.startswith(PREFIX)]


def _is_command_of(module: types.ModuleType, value: object) -> bool:
    return isinstance(value, click.Command) and value.callback.__module__ == module.__name__


@click.group(cls=CommandGroup)
def main() -> None:
    """Run and operate wasabiwick, a router for separate prefill and decode pools."""
