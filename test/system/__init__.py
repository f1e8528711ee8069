"""Fuzzing of a complete system in one process."""
