"""The platform's header names, data formats and calls, without any routing logic."""
