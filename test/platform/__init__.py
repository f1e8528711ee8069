"""Tests of the platform's formats and of the client of its store."""
