"""Hash chain over the fixed-size pieces of a prompt, as engines key their prefix caches."""

import xxhash

PIECE_TOKENS = 16
MAX_PIECES = 64  # Longer prompts are told apart well enough by their first 1,024 tokens.

PREFIX_LENGTHS = (1, 2, 4, 8, 12, 16, 24, 32, 48, 64)  # Lengths at which a chain is compared.


def prefix_hashes(chain: tuple[int, ...]) -> tuple[int, ...]:
    """Return a chain's hashes at the ladder's lengths; each stands for all pieces before it."""
    return tuple(chain[length - 1] for length in PREFIX_LENGTHS if length <= len(chain))


def tokens_of(prompt: str) -> list[str]:
    """Split a prompt into approximate tokens."""
    return prompt.split()


def piece_chain(prompt: str, *, limit: int = MAX_PIECES) -> tuple[int, ...]:
    """Hash each whole piece of a prompt together with all before it.

    Args:
        prompt: The prompt's text.
        limit: Longest chain.

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
