"""Options that several of the operators' commands share."""

import ssl

import click

from ._settings_file import load_settings
from ._tls import client_context


def _read_tls(ctx: object, param: object, path: str | None) -> ssl.SSLContext | None:
    if path is None:
        return None
    cfg = load_settings(path)
    if isinstance(cfg, list):
        raise click.BadParameter(cfg[0].located(path))
    return client_context(cfg.tls) if cfg.tls else None


hosts_option = click.option(
    "--hosts", "hosts_url", required=True, help="Base URL of the platform's host list."
)
tls_option = click.option(
    "--settings",
    "tls",
    callback=_read_tls,
    type=click.Path(exists=True, dir_okay=False),
    help="Settings file with the client's certificate and the trusted ones, if hosts use TLS.",
)
