"""TLS contexts that reload changed certificate files without closing open connections."""

import asyncio
import os
import ssl

from cryptography import x509

from ._logging import log_event
from ._settings import Tls

POLL_INTERVAL = 1.0  # Seconds between checks whether a certificate file has changed.

FileVersion = tuple[int, int, int]  # Modification time in nanoseconds, size in bytes, and inode.


class Contexts:
    """The TLS contexts made from one reading of the certificate files.

    Args:
        cfg: Paths of the certificate, key and authority files.

    Raises:
        ssl.SSLError: If a file has no valid certificate or key, or the key does not match.
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
    """The TLS contexts of a host, rebuilt when a file changes.

    Changed files are used only if all of them are valid together. So a certificate that is replaced
    before its key has no effect until the key is replaced too.

    Args:
        cfg: Paths of the certificate, key and authority files.

    Raises:
        ssl.SSLError: If a file has no valid certificate or key, or the key does not match.
        OSError: If a file can't be read.

    Attributes:
        callers: Context of the listener for callers.
        peers: Context of the listener for peers, which requests a client certificate.
    """

    __slots__ = ("callers", "peers", "_cfg", "_current", "_versions", "_last_error")

    def __init__(self, cfg: Tls) -> None:
        self._cfg = cfg
        self._versions = self._file_versions()
        self._current = Contexts(cfg)
        self._last_error = ""
        self.callers = server_context(cfg)
        self.callers.sni_callback = self._use_callers
        # This context requests the client's certificate; the one set in the callback verifies it.
        self.peers = server_context(cfg)
        self.peers.load_verify_locations(cafile=cfg.authority)
        self.peers.verify_mode = ssl.CERT_REQUIRED
        self.peers.sni_callback = self._use_peers
        self._log_loaded()

    @property
    def client(self) -> ssl.SSLContext:
        """Context for connections to other hosts; another object after each reload."""
        return self._current.client

    def refresh(self) -> bool:
        """Reload the files if one changed; return whether new contexts are in use."""
        try:
            versions = self._file_versions()
            if versions == self._versions:
                return False
            self._current = Contexts(self._cfg)
        except OSError as exc:
            # Includes ssl.SSLError. The old contexts stay in use, and the next check tries again.
            self._log_rejected(exc)
            return False
        self._versions = versions
        self._last_error = ""
        self._log_loaded()
        return True

    async def watch(self) -> None:
        """Check the files at intervals until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL)
            self.refresh()

    # OpenSSL calls these methods in each handshake, whether or not the client names a server.

    def _use_callers(self, conn: ssl.SSLObject, name: str | None, ctx: ssl.SSLContext) -> None:
        conn.context = self._current.callers

    def _use_peers(self, conn: ssl.SSLObject, name: str | None, ctx: ssl.SSLContext) -> None:
        conn.context = self._current.peers

    def _file_versions(self) -> tuple[FileVersion, ...]:
        return tuple(_file_version(path) for path in self._paths())

    def _paths(self) -> tuple[str, ...]:
        return (self._cfg.certificate, self._cfg.key, self._cfg.authority)

    def _log_loaded(self) -> None:
        log_event("certificate_loaded", **_certificate_fields(self._cfg.certificate))

    def _log_rejected(self, exc: OSError) -> None:
        text = str(exc)
        if text != self._last_error:
            self._last_error = text
            log_event("certificate_rejected", level="ERROR", error=text)


def _file_version(path: str) -> FileVersion:
    found = os.stat(path)
    return (found.st_mtime_ns, found.st_size, found.st_ino)


def server_context(cfg: Tls) -> ssl.SSLContext:
    """Return a context that presents the host's certificate, and requests none from clients."""
    ctx = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    ctx.minimum_version = ssl.TLSVersion.TLSv1_2
    _load_host_certificate(ctx, cfg)
    return ctx


def client_context(cfg: Tls) -> ssl.SSLContext:
    """Return a context that presents the host's certificate and trusts only the authority."""
    ctx = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    ctx.minimum_version = ssl.TLSVersion.TLSv1_2
    ctx.load_verify_locations(cafile=cfg.authority)
    _load_host_certificate(ctx, cfg)
    return ctx


def _load_host_certificate(ctx: ssl.SSLContext, cfg: Tls) -> None:
    # OpenSSL would ask on the terminal for an encrypted key's password if none were passed here.
    ctx.load_cert_chain(cfg.certificate, cfg.key, password="")


def _certificate_fields(path: str) -> dict[str, object]:
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
