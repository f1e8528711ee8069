"""The tables of sections and keys of the operators' document."""
