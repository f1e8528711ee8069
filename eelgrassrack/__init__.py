"""A model-aware router: complete answers from permitted versions, billed once."""

__version__ = "0.1.0"
