"""Hash chain over the fixed-size pieces of a prompt, by which engines key their prefix caches."""

import xxhash

PIECE_TOKENS = 16
MAX_PIECES = 64  # Most pieces hashed: the first 1,024 tokens distinguish prompts well enough.

# Lengths of the prefixes by which prompts are compared, in pieces.
PREFIX_LENGTHS = (1, 2, 4, 8, 12, 16, 24, 32, 48, 64)


def prefix_hashes(chain: tuple[int, ...]) -> tuple[int, ...]:
    """Return a chain's hashes at `PREFIX_LENGTHS`; each covers all pieces up to its own."""
    return tuple(chain[length - 1] for length in PREFIX_LENGTHS if length <= len(chain))


def tokens_of(prompt: str) -> list[str]:
    """Split a prompt into approximate tokens."""
    return prompt.split()


def piece_chain(prompt: str, *, limit: int = MAX_PIECES) -> tuple[int, ...]:
    """Hash each whole piece of a prompt together with all pieces before it.

    Args:
        prompt: The prompt's text.
        limit: Largest number of pieces to hash.

    Returns:
        One 53-bit hash per whole piece, so that JSON readers keep them exact.
    """
    tokens = tokens_of(prompt)
    chain = []
    digest = xxhash.xxh3_64()
    for start in range(0, len(tokens) - PIECE_TOKENS + 1, PIECE_TOKENS):
        if len(chain) == limit:
            break
        digest.update(" ".join(tokens[start : start + PIECE_TOKENS]).encode())
        digest.update(b"\n")
        chain.append(digest.intdigest() >> 11)
    return tuple(chain)
