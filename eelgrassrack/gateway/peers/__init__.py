"""The other gateways: their list and what they tell each other."""
