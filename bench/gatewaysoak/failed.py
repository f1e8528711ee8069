"""Seeds that failed once, and by what.

The dice settle a seed's faults, not the moments at which they strike: one that
failed may pass on the same code.
"""

# Faults of the gateway, each with the commit that it was found on.
PRODUCT = {
    1: "641b7b0: streams taken late in a stop by an estimate were cut",
    3: "641b7b0: late requests without any answer; callers in the queue of a gate "
    "that was told to stop while it loaded were cut",
    4: "641b7b0: streams taken late in a stop by an estimate were cut",
    5: "641b7b0: callers in the queue of a gate that was told to stop while it loaded",
    6: "d312df8: the same, with kills and pauses besides",
    114: "2e46f9a: a request in the last moment of a stop was read, and its refusal "
    "not sent",
}

# Faults of the soak's own checks, which took what is allowed for a fault.
CHECKS = {
    7: "a stream that its endpoint broke off, or that used up its own limit",
    18: "requests on connections to a gate that was being killed",
    120: "a kept connection, closed as idle while a request was on its way",
    141: "a link to an endpoint was reset",
    142: "a link to an endpoint was reset",
    149: "a kept connection, closed as idle while a request was on its way",
    204: "a process that was done took long to end on an overloaded machine",
    231: "the same",
}
