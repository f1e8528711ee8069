"""Tests of each promise under failure, with and without its guarding rule."""
