"""Random calls, faults and changes on a whole system, checked by a simple oracle.

`python -m bench.soak` runs many seeds for minutes; the tests run a few.
"""
