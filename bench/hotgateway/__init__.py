"""Plays in which most new connections go to one gateway."""
