"""Prices of bills."""

from ..mailbox.messages import Bill

# Prices are in millionths of the money unit.  The cost of a version is in money units
# for each thousand tokens.
MILLIONTHS_PER_UNIT = 1_000_000
TOKENS_PER_COST = 1_000


def price_bill(*, bill: Bill, cost: float) -> int:
    """Return a bill's price in millionths of the money unit, at a version's cost."""
    tokens = bill.prompt_tokens + bill.completion_tokens
    return round(cost * tokens * MILLIONTHS_PER_UNIT / TOKENS_PER_COST)
