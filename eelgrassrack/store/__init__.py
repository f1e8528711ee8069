"""Durable state, kept in the platform's object API so that it outlives instances."""
