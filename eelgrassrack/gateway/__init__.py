"""The gateway: relays callers' HTTP requests directly to endpoints."""
