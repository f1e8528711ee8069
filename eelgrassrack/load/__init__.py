"""Open-loop load generator for deployed entries, measured at the callers."""
