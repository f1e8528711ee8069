"""Messages between entries and agents."""
