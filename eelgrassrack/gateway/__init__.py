"""The entry's direct path: requests are relayed to endpoints by HTTP."""
