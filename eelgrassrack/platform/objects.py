"""Decoding of the objects in the platform's store into the gateway's types."""

from typing import Annotated

import logbook
import msgspec

from ..addresses import parse_address
from ..decoding import decode_json
from ..errors import FormatError
from ..gateway.endpoints.endpoint import Endpoint
from ..gateway.store.storeobjects import Peer, RolloutOrder, RolloutState, RolloutStatus

log = logbook.Logger("store")

MILLISECONDS = 1000.0

STATES = {
    "running": RolloutState.RUNNING,
    "done": RolloutState.DONE,
    "rolled_back": RolloutState.ROLLED_BACK,
}
STATE_NAMES = {state: name for name, state in STATES.items()}

# A revision of the store.  Peers can't be told of larger ones.
Revision = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]

# Larger numbers are garbled: Unix milliseconds, slots, milliseconds of a day, seconds
# of a year, and Unix seconds.
UnixMilliseconds = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Slots = Annotated[int, msgspec.Meta(le=1_000_000)]
ColdMilliseconds = Annotated[float, msgspec.Meta(le=86_400_000.0)]
RolloutSeconds = Annotated[float, msgspec.Meta(ge=0.0, le=31_536_000.0)]
UnixSeconds = Annotated[float, msgspec.Meta(ge=0.0, le=2.0**53)]


class WireMeta(msgspec.Struct, frozen=True):
    """Metadata of an object.

    `created` is the store's revision at which the object was created, not a time.
    """

    name: str
    revision: Revision = 0
    created: Revision = 0
    deleting: bool = False


class WireObject(msgspec.Struct, frozen=True):
    """One object; how `spec` is decoded depends on its kind."""

    metadata: WireMeta
    spec: msgspec.Raw = msgspec.Raw(b"null")
    status: msgspec.Raw = msgspec.Raw(b"null")


class WirePage(msgspec.Struct, frozen=True, rename="camel"):
    """One page of a list."""

    items: tuple[WireObject, ...]
    store_revision: Revision
    has_more: bool = False


class WireEvent(msgspec.Struct, frozen=True):
    """One change; `tombstone` means that the object was deleted."""

    object: WireObject
    tombstone: bool = False


class WireWatch(msgspec.Struct, frozen=True, rename="camel"):
    """The changes that a watch returned."""

    events: tuple[WireEvent, ...]
    store_revision: Revision


class WireEndpoint(msgspec.Struct, frozen=True, rename="camel"):
    """An endpoint; `version` is the version of its software."""

    service: str
    address: str
    zone: str
    version: str
    slots: Slots
    state: str
    born: UnixMilliseconds = 0
    cold_remaining_ms: ColdMilliseconds = 0.0


class WireOrder(msgspec.Struct, frozen=True, rename="camel"):
    """An order to roll out version `to`, within `duration_s` seconds."""

    service: str
    to: str
    duration_s: RolloutSeconds


class WireStatus(msgspec.Struct, frozen=True, rename="camel"):
    """A roll-out's status.

    `since` is in Unix seconds and is set by this router, not by the platform.
    """

    state: str
    to: str
    since: UnixSeconds = 0.0


class WirePeer(msgspec.Struct, frozen=True):
    """The address where an entry receives peer updates; a kind of this router's own."""

    address: str


def decode_endpoint(wire: WireObject) -> Endpoint:
    """Decode an endpoint; raise `FormatError` if malformed or in an unknown state."""
    spec = _decode(wire, WireEndpoint)
    if spec.state not in {"ready", "draining"}:
        raise FormatError(f"no such state: {spec.state[:80]}")
    return Endpoint(
        name=wire.metadata.name,
        born=spec.born,
        service=spec.service,
        address=parse_address(spec.address),
        domain=spec.zone,
        version=spec.version,
        slots=max(spec.slots, 1),
        is_draining=spec.state == "draining",
        cold=max(spec.cold_remaining_ms, 0.0) / MILLISECONDS,
    )


def decode_order(wire: WireObject) -> RolloutOrder:
    """Decode a roll-out's order and its recorded status."""
    spec = _decode(wire, WireOrder)
    return RolloutOrder(
        service=spec.service,
        version=spec.to,
        seconds=spec.duration_s,
        revision=wire.metadata.revision,
        created=wire.metadata.created,
        status=_decode_status(wire),
    )


def decode_peer(wire: WireObject) -> Peer:
    """Decode the address where another entry receives peer updates."""
    spec = _decode(wire, WirePeer)
    return Peer(name=wire.metadata.name, address=parse_address(spec.address))


def encode_status(status: RolloutStatus) -> dict[str, object]:
    """Encode a roll-out's status for the store."""
    return {
        "state": STATE_NAMES[status.state],
        "to": status.version,
        "since": status.since,
    }


def _decode_status(wire: WireObject) -> RolloutStatus | None:
    try:
        status = decode_json(wire.status, kind=WireStatus | None)
        if status is None:
            return None
        state = STATES[status.state]
    except (FormatError, KeyError) as error:
        log.warning("store: status of {} can't be read: {}", wire.metadata.name, error)
        return None
    return RolloutStatus(state=state, version=status.to, since=status.since)


def _decode(wire: WireObject, kind: type) -> object:
    return decode_json(wire.spec, kind=kind)
