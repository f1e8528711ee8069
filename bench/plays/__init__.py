"""Plays days of the users' bench with several copies of the source tree."""
