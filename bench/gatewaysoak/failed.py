"""Seeds that failed in the past, and the cause of each failure.

A seed determines which faults are injected, but not exactly when they take effect,
so a seed that failed may pass on the same code.
"""

# Faults of the gateway, each with the commit on which it was found.
PRODUCT_FAULTS = {
    1: "641b7b0: streams that a stopping gateway accepted late, because it estimated "
    "that they would finish in time, were cut",
    3: "641b7b0: late requests got no answer; a gateway that got SIGTERM while it "
    "loaded cut the connections that waited in its listen queue",
    4: "641b7b0: the same as seed 1",
    5: "641b7b0: a gateway that got SIGTERM while it loaded cut the connections that "
    "waited in its listen queue",
    6: "d312df8: the same as seed 5, together with kills and pauses",
    114: "2e46f9a: a request that was read at the last moment of a stop was never sent "
    "its refusal",
    403: "1dc4662: requests whose callers left after the last byte ran with an empty "
    "body",
}

# Faults of the soak's own checks: allowed behaviour that they reported as a fault.
CHECK_FAULTS = {
    7: "a stream that its endpoint broke off, or that reached its own timeout",
    18: "requests on connections to a gateway that was being killed",
    120: "a keep-alive connection, closed as idle while a request was in flight",
    141: "a link to an endpoint was reset",
    142: "a link to an endpoint was reset",
    149: "the same as seed 120",
    204: "a process that had finished stopping took long to exit on an overloaded "
    "machine",
    231: "the same as seed 204",
}
