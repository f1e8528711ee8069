"""Load scenarios played against real entry and agent processes."""
