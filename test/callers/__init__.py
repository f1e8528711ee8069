"""Tests of what callers may make a process hold."""
