"""Digests of callers' keys, by which alone a key is known outside the connection it came on."""

import hashlib

DIGEST_BYTES = 16  # Enough that no two keys share a digest, and short enough to be told.


def digest(key: bytes) -> str:
    """Return the digest of a key, from which the key can't be found."""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).hexdigest()
