"""The entry daemon: accepts HTTP requests and dispatches them to agents."""
