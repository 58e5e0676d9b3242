"""The text that a stand-in engine generates: a function of the prompt and the token's index."""

import xxhash

TOKEN_LETTERS = 6


def output_seed(prompt: str, prefix: str = "") -> int:
    """Return the seed of the output that follows a prompt.

    Args:
        prompt: The prompt.
        prefix: Output that the engine was told to go on after. One that the engine would not have
            generated itself leads to other text, so that a check of the whole answer finds it.
    """
    seed = xxhash.xxh3_64_intdigest(prompt.encode())
    if prefix and prefix != output(seed, 0, len(prefix) // (TOKEN_LETTERS + 1)):
        return xxhash.xxh3_64_intdigest((prompt + prefix).encode())
    return seed


def output(seed: int, start: int, stop: int) -> str:
    """Return the tokens from index ``start`` up to ``stop``."""
    return "".join(_token(seed, index) for index in range(start, stop))


def expected_output(prompt: str, max_tokens: int) -> str:
    """Return the whole answer to a prompt."""
    return output(output_seed(prompt), 0, max_tokens)


def _token(seed: int, index: int) -> str:
    return xxhash.xxh3_64_hexdigest(str(index).encode(), seed=seed)[:TOKEN_LETTERS] + " "
