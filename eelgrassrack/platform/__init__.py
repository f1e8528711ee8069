"""How the platform speaks: names, formats and calls.  Nothing here decides."""
