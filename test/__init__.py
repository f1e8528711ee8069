"""The tests, laid out like the package."""
