"""Tests that run the real daemons as separate processes."""
