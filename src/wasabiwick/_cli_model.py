"""``wasabiwick model``: model-checks the specifications of the protocols."""

import typing

import click


@click.command()
def model() -> None:
    """Prove the protocols' properties, and show that each deliberate fault has a counterexample."""
    from ._model import _run  # Needs minicheck, which only developers install.

    failures = []
    for result in _run.protocols():
        _show(result)
        if not result.proved:
            failures.append(f'"{result.name}" is not proved')
    rerun = _run.check_rerun_after_not_run()
    _show(rerun)
    for result in (rerun, *_run.mutations()):
        if result is not rerun:
            _show(result)
        if not result.refuted:
            failures.append(f'"{result.name}" has no counterexample')
    for line in failures:
        click.echo(line, err=True)
    if failures:
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
