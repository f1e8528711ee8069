"""Routing decisions as pure logic: callers pass in the time and random numbers."""
