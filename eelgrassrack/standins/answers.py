"""The deterministic answers of the stand-in engines.

An answer depends only on the prompt, the version and the number of tokens.
"""

import xxhash

BAD_MARKER = "[bad]"
HARD_MARKER = "hard"


def make_token(*, seed: int, index: int) -> str:
    """Return the token at `index`.

    Each token contains its index, so that tests can see missing and repeated tokens.
    """
    return f"{index}-{(seed >> (index % 48)) & 0xFFF:03x} "


def make_seed(*, prompt: str, version: str) -> int:
    """Return the seed of all tokens of an answer."""
    return xxhash.xxh3_64_intdigest(f"{version}\0{prompt}".encode())


def list_tokens(
    *, prompt: str, version: str, max_tokens: int, bad: bool = False
) -> list[str]:
    """Return all tokens of an answer; the first token of a bad one is a marker."""
    seed = make_seed(prompt=prompt, version=version)
    tokens = [make_token(seed=seed, index=index) for index in range(max_tokens)]
    if bad and tokens:
        tokens[0] = f"{BAD_MARKER} "
    return tokens


def expected_text(
    prompt: str, version: str, max_tokens: int, *, bad: bool = False
) -> str:
    """Return the complete answer of an engine that works correctly."""
    tokens = list_tokens(prompt=prompt, version=version, max_tokens=max_tokens, bad=bad)
    return "".join(tokens)
