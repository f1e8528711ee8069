"""A randomised soak of real gateway processes, with faults from outside."""
