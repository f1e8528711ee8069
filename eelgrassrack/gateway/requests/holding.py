"""Errors for messages that would exceed their bounds."""

from ...decisions.heldbytes import Excess, Holding
from ..errors import EndlessError, MemoryFullError


def hold_more(holding: Holding, size: int) -> None:
    """Hold one more piece of a response.

    Raises `EndlessError` or `MemoryFullError` if a bound forbids it.
    """
    match holding.add(size):
        case Excess.ALONE:
            raise EndlessError(f"too long or in too many pieces: {holding.size} bytes")
        case Excess.TOGETHER:
            raise MemoryFullError(Excess.TOGETHER.value)
