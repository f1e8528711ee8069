"""Stand-ins for the platform, engines and services, used by tests and the demo."""
