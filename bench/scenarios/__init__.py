"""Load scenarios that run the project's decision modules in virtual time.

A request passes admission and placement at a simulated entry, which knows the
endpoints from delayed reports.  It then passes the queue and the concurrency window of
a simulated agent and occupies an engine slot for the duration of its tokens.  There is
no network, and the only clock is the event heap.  Each scenario is repeated with the
same seeds and a simple rule in place of one module, for comparison.
"""
