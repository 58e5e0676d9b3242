"""TLS contexts that follow their files: new connections use new certificates, old ones stay."""

import asyncio
import os
import ssl

from cryptography import x509

from ._logging import log_event
from ._settings import Tls

POLL_INTERVAL = 1.0  # Seconds between looks at the files.

FileMark = tuple[int, int, int]


class Contexts:
    """One reading of the certificate files.

    Args:
        cfg: The files.

    Raises:
        ssl.SSLError: If a file does not hold what it should.
        OSError: If a file can't be read.
    """

    __slots__ = ("callers", "peers", "client")

    def __init__(self, cfg: Tls) -> None:
        self.callers = server_context(cfg)
        self.peers = server_context(cfg)
        self.peers.load_verify_locations(cafile=cfg.authority)
        self.peers.verify_mode = ssl.CERT_REQUIRED
        self.client = client_context(cfg)


class TlsFiles:
    """The TLS contexts of a host, made anew when a file changes.

    A new reading is used only if it is valid as a whole, so that a certificate that is replaced
    before its key changes nothing until both are there.

    Args:
        cfg: The files.

    Raises:
        ssl.SSLError: If a file does not hold what it should.
        OSError: If a file can't be read.

    Attributes:
        callers: Context of the callers' listener.
        peers: Context of the peers' listener, which asks for a certificate.
    """

    __slots__ = ("callers", "peers", "_cfg", "_current", "_marks", "_failed")

    def __init__(self, cfg: Tls) -> None:
        self._cfg = cfg
        self._marks = self._look()
        self._current = Contexts(cfg)
        self._failed = ""
        self.callers = server_context(cfg)
        self.callers.sni_callback = self._use_callers
        # Certificates are asked for by the first context and verified by the current one.
        self.peers = server_context(cfg)
        self.peers.load_verify_locations(cafile=cfg.authority)
        self.peers.verify_mode = ssl.CERT_REQUIRED
        self.peers.sni_callback = self._use_peers
        self._log_loaded()

    @property
    def client(self) -> ssl.SSLContext:
        """The context for connections to other hosts; a changed file makes it another object."""
        return self._current.client

    def refresh(self) -> bool:
        """Read the files again if one changed; returns whether new contexts are in use."""
        try:
            marks = self._look()
            if marks == self._marks:
                return False
            self._current = Contexts(self._cfg)
        except OSError as exc:
            # Includes ssl.SSLError. The next look tries again, with the old contexts in use.
            self._log_failed(exc)
            return False
        self._marks = marks
        self._failed = ""
        self._log_loaded()
        return True

    async def watch(self) -> None:
        """Look at the files again and again until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL)
            self.refresh()

    # OpenSSL calls these for each handshake, whether or not the client names a server.

    def _use_callers(self, conn: ssl.SSLObject, name: str | None, ctx: ssl.SSLContext) -> None:
        conn.context = self._current.callers

    def _use_peers(self, conn: ssl.SSLObject, name: str | None, ctx: ssl.SSLContext) -> None:
        conn.context = self._current.peers

    def _look(self) -> tuple[FileMark, ...]:
        return tuple(_mark(path) for path in self._paths())

    def _paths(self) -> tuple[str, ...]:
        return (self._cfg.certificate, self._cfg.key, self._cfg.authority)

    def _log_loaded(self) -> None:
        log_event("certificate_loaded", **_about(self._cfg.certificate))

    def _log_failed(self, exc: OSError) -> None:
        text = str(exc)
        if text != self._failed:
            self._failed = text
            log_event("certificate_rejected", level="ERROR", error=text)


def _mark(path: str) -> FileMark:
    found = os.stat(path)
    return (found.st_mtime_ns, found.st_size, found.st_ino)


def server_context(cfg: Tls) -> ssl.SSLContext:
    """Return a context that shows the host's certificate and asks for none."""
    ctx = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    ctx.minimum_version = ssl.TLSVersion.TLSv1_2
    _load_own(ctx, cfg)
    return ctx


def client_context(cfg: Tls) -> ssl.SSLContext:
    """Return a context that shows the host's certificate and trusts the authority alone."""
    ctx = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    ctx.minimum_version = ssl.TLSVersion.TLSv1_2
    ctx.load_verify_locations(cafile=cfg.authority)
    _load_own(ctx, cfg)
    return ctx


def _load_own(ctx: ssl.SSLContext, cfg: Tls) -> None:
    # Without a password, OpenSSL would ask for that of an encrypted key on the terminal.
    ctx.load_cert_chain(cfg.certificate, cfg.key, password="")


def _about(path: str) -> dict[str, object]:
    try:
        with open(path, "rb") as file:
            cert = x509.load_pem_x509_certificate(file.read())
    except (OSError, ValueError) as exc:
        return {"file": path, "error": str(exc)}
    return {
        "serial": f"{cert.serial_number:x}",
        "subject": cert.subject.rfc4514_string(),
        "not_after": cert.not_valid_after_utc.isoformat(),
    }
