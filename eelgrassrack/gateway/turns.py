"""Short turns of the event loop while bytes arrive faster than they are handled.

A read that finds its bytes in a buffer doesn't suspend its task.  A task that reads
what a fast peer sends would never let the loop go on: no timeout would expire and no
other request would be served.
"""

# Pieces and bytes after which a reader lets the loop go on.
PIECES_PER_TURN = 64
BYTES_PER_TURN = 262_144
