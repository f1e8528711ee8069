"""The endpoints: their state, the choice of one, and connections to them."""
