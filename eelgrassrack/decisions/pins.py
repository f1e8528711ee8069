"""Session pinning: each request of a session goes to the same version of a model.

A roll-out changes the weights of a model's versions during conversations.  Without
pinning, the turns of one conversation would go to different versions, whose answers may
contradict each other.

A session keeps its version whatever the weights are.  If the version is withdrawn, the
withdrawal takes precedence: the request is refused with that reason instead of being
moved silently to another version.
"""

import msgspec


class Pinned(msgspec.Struct, kw_only=True, frozen=True):
    """The session is pinned to a version."""

    version: str


class Unpinned(msgspec.Struct, kw_only=True, frozen=True):
    """The session is new, or there is no session."""


class Keep(msgspec.Struct, kw_only=True, frozen=True):
    """Use the session's version."""

    version: str


class Choose(msgspec.Struct, kw_only=True, frozen=True):
    """Choose a version by its share and pin the session to it."""


class RefuseWithdrawn(msgspec.Struct, kw_only=True, frozen=True):
    """Refuse the request: the session's version gets no new requests."""

    version: str


def judge_pin(
    *, pin: Pinned | Unpinned, active: frozenset[str], permitted: frozenset[str]
) -> Keep | Choose | RefuseWithdrawn:
    """Decide which version a session's request uses.

    `active` holds the versions that may get new requests, `permitted` those that the
    organisation may use and that match the requested model.  A pin to a version outside
    `permitted` belongs to another model and is ignored.
    """
    match pin:
        case Unpinned():
            return Choose()
        case Pinned(version=version) if version not in permitted:
            return Choose()
        case Pinned(version=version) if version in active:
            return Keep(version=version)
        case Pinned(version=version):
            return RefuseWithdrawn(version=version)
