"""Connections of callers that nobody controls: bounded memory and short turns."""
