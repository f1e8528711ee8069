"""Tests of the records stored in the platform's object API."""
