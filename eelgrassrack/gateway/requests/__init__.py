"""What a request goes through, from its arrival to the end of its answer."""
