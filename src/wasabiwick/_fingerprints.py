"""Fingerprints of requests, by which hosts recognize one that comes again."""

import msgspec
import xxhash

PREFIX = "request:"  # Begins all fingerprints; no identifier of a prompt's part has a colon.


def fingerprints(
    *, method: str, host: str, target: str, caller: list[bytes], body: bytes
) -> tuple[str, ...]:
    """Return the fingerprints of a request, the wider one first.

    Args:
        method: HTTP method.
        host: Host that the request names.
        target: Path and query.
        caller: What the request says of who sent it.
        body: The whole body.

    Returns:
        The fingerprint that leaves out the query; then, if there is a query, the one that includes
        it. The latter begins with the former.
    """
    path, _, query = target.partition("?")
    digest = xxhash.xxh3_64(msgspec.msgpack.encode((method, host, path, caller)))
    digest.update(body)
    wide = PREFIX + digest.hexdigest()
    return (wide, f"{wide}:{xxhash.xxh3_64_hexdigest(query.encode())}") if query else (wide,)


def is_fingerprint(part: str) -> bool:
    """Return whether an identifier stands for a whole request, not for a part of a prompt."""
    return part.startswith(PREFIX)


def narrowest(parts: list[str]) -> list[str]:
    """Return the fingerprints that no other one of the same request narrows down."""
    return [one for one in parts if not any(other.startswith(f"{one}:") for other in parts)]
