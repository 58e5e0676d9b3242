"""Output text of a stand-in engine: a function of the prompt and each token's index."""

import xxhash

TOKEN_CHARS = 6  # Characters of an output token, without the space that follows it.


def output_seed(prompt: str, prefix: str = "") -> int:
    """Return the seed of the output that follows a prompt.

    Args:
        prompt: The prompt.
        prefix: Output to continue after. A prefix that the engine would not have generated itself
            changes the text after it, so that a check of the whole answer fails.
    """
    seed = xxhash.xxh3_64_intdigest(prompt.encode())
    if prefix and prefix != output(seed, 0, len(prefix) // (TOKEN_CHARS + 1)):
        return xxhash.xxh3_64_intdigest((prompt + prefix).encode())
    return seed


def output(seed: int, start: int, stop: int) -> str:
    """Return the tokens from index ``start`` up to ``stop``."""
    return "".join(_token(seed, index) for index in range(start, stop))


def expected_output(prompt: str, max_tokens: int) -> str:
    """Return the whole answer to a prompt."""
    return output(output_seed(prompt), 0, max_tokens)


def _token(seed: int, index: int) -> str:
    return xxhash.xxh3_64_hexdigest(str(index).encode(), seed=seed)[:TOKEN_CHARS] + " "
