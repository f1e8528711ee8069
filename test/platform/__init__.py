"""Tests of how the platform speaks."""
