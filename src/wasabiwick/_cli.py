"""The ``wasabiwick`` command line, made up of the commands in the ``_cli_*`` modules."""

import importlib
import pkgutil
import types

import click

MODULE_PREFIX = "_cli_"


class CommandGroup(click.Group):
    """A group that imports a command's module only when the command is used.

    The daemon starts in half the time without the imports that only reports and benchmarks need.
    """

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command; only the module named after it is imported, if there is one."""
        modules = _command_modules()
        own_module = MODULE_PREFIX + cmd_name.partition("-")[0]
        if own_module in modules:
            self._add_commands_of(own_module)
        if cmd_name not in self.commands:
            self._add_all(modules)
        return super().get_command(ctx, cmd_name)

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        self._add_all(_command_modules())
        return super().list_commands(ctx)

    def _add_all(self, modules: list[str]) -> None:
        for name in modules:
            self._add_commands_of(name)

    def _add_commands_of(self, name: str) -> None:
        module = importlib.import_module(f".{name}", __package__)
        commands = [value for value in vars(module).values() if _is_command_of(module, value)]
        groups = [command for command in commands if isinstance(command, click.Group)]
        nested = [command for group in groups for command in group.commands.values()]
        for command in commands:
            if command not in nested:
                self.add_command(command)


def _command_modules() -> list[str]:
    package = importlib.import_module(__package__)
    names = [found.name for found in pkgutil.iter_modules(package.__path__)]
    return [name for name in names if name.startswith(MODULE_PREFIX)]


def _is_command_of(module: types.ModuleType, value: object) -> bool:
    return isinstance(value, click.Command) and value.callback.__module__ == module.__name__


@click.group(cls=CommandGroup)
def main() -> None:
    """Run and operate wasabiwick, a router for separate prefill and decode pools."""
