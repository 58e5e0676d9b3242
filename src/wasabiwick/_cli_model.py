"""Command that checks the protocols' specifications."""

import typing

import click


@click.command()
def model() -> None:
    """Prove the protocols' properties, and show that deliberate faults are found."""
    from ._model import _run  # Needs minicheck, which only developers install.

    wrong = []
    for result in _run.protocols():
        _show(result)
        if not result.proved:
            wrong.append(f'"{result.name}" is not proved')
    again = _run.check_rerun_after_not_run()
    _show(again)
    for result in (again, *_run.mutations()):
        if result is not again:
            _show(result)
        if not result.refuted:
            wrong.append(f'"{result.name}" has no counterexample')
    for line in wrong:
        click.echo(line, err=True)
    if wrong:
        raise SystemExit(1)


def _show(result: typing.Any) -> None:
    click.echo(
        f"{result.name}: states={result.states} exhaustive={result.exhaustive}"
        f" seconds={result.seconds:.1f}"
    )
    for name, holds in result.properties.items():
        click.echo(f"  {name}: {'proved' if holds else 'refuted' if holds is False else 'open'}")
    for name, trace in result.counterexamples.items():
        click.echo(f"  counterexample to {name}, {len(trace)} steps: {'; '.join(trace)}")
