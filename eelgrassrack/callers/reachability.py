"""Tells callers that can't be reached from those that only read slowly.

A caller that doesn't read for a while leaves bytes of its answer with this machine, as
one does that has lost power.  The kernel's own timeout on unsent bytes ends both.  But
the machine of a slow caller acknowledges what is sent, and the probes of its window.
"""

import socket
import struct

# The begin of the kernel's `tcp_info`: eight bytes, then numbers of 32 bits.
TCP_INFO = struct.Struct("8B13I")
RETRANSMITS = 2
PROBES = 3
LAST_ACK_MS = 20

# A caller is gone if so many retransmissions or probes in a row have no answer, and
# nothing has been acknowledged for so long.
MIN_UNANSWERED = 3
ACK_TIMEOUT_MS = 2_000


def is_unreachable(sock: socket.socket) -> bool:
    """Return whether the other machine has stopped to acknowledge what is sent."""
    try:
        data = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size)
    except OSError:
        return False
    if len(data) < TCP_INFO.size:
        return False
    info = TCP_INFO.unpack(data)
    unanswered = max(info[RETRANSMITS], info[PROBES])
    return unanswered >= MIN_UNANSWERED and info[LAST_ACK_MS] >= ACK_TIMEOUT_MS
