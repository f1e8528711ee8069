"""The objects of the platform's store, decoded into the gateway's types."""

import logbook
import msgspec

from ..gateway.endpoints import Endpoint
from ..gateway.storeobjects import Peer, RolloutOrder, RolloutState, RolloutStatus
from .errors import FormatError

log = logbook.Logger("store")

MILLISECONDS = 1000.0

STATES = {
    "running": RolloutState.RUNNING,
    "done": RolloutState.DONE,
    "rolled_back": RolloutState.ROLLED_BACK,
}
STATE_WORDS = {state: word for word, state in STATES.items()}


class WireMeta(msgspec.Struct, frozen=True):
    """What the store keeps of an object.

    `created` is a revision of the store, not a time.
    """

    name: str
    revision: int = 0
    created: int = 0
    deleting: bool = False


class WireObject(msgspec.Struct, frozen=True):
    """One object; `spec` is read by kind."""

    metadata: WireMeta
    spec: msgspec.Raw = msgspec.Raw(b"null")
    status: msgspec.Raw = msgspec.Raw(b"null")


class WirePage(msgspec.Struct, frozen=True, rename="camel"):
    """One page of a list."""

    items: tuple[WireObject, ...]
    store_revision: int
    has_more: bool = False


class WireEvent(msgspec.Struct, frozen=True):
    """One change; `tombstone` says that the object was removed."""

    object: WireObject
    tombstone: bool = False


class WireWatch(msgspec.Struct, frozen=True, rename="camel"):
    """What a watch returned."""

    events: tuple[WireEvent, ...]
    store_revision: int


class WireEndpoint(msgspec.Struct, frozen=True, rename="camel"):
    """An endpoint's entry; `version` is that of its software."""

    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: str
    born: int = 0
    cold_remaining_ms: float = 0.0


class WireOrder(msgspec.Struct, frozen=True, rename="camel"):
    """A roll-out's order; `duration_s` is its time limit."""

    service: str
    to: str
    duration_s: float


class WireStatus(msgspec.Struct, frozen=True, rename="camel"):
    """A roll-out's status; `since` is our own field, in Unix seconds."""

    state: str
    to: str
    since: float = 0.0


class WirePeer(msgspec.Struct, frozen=True):
    """Our own kind: an entry and where it takes news."""

    address: str


def split_address(text: str) -> tuple[str, int]:
    """Return host and port; raise `FormatError` if there is none."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise FormatError(f"not an address: {text[:80]}")
    return host, int(port)


def decode_endpoint(wire: WireObject) -> Endpoint:
    """Return an endpoint; raise `FormatError` if it names none to use."""
    spec = _decode(wire, WireEndpoint)
    if spec.state not in {"ready", "draining"}:
        raise FormatError(f"no such state: {spec.state[:80]}")
    return Endpoint(
        name=wire.metadata.name,
        born=spec.born,
        service=spec.service,
        address=split_address(spec.address),
        domain=spec.zone,
        version=spec.version,
        slots=max(spec.slots, 1),
        is_draining=spec.state == "draining",
        cold=spec.cold_remaining_ms / MILLISECONDS,
    )


def decode_order(wire: WireObject) -> RolloutOrder:
    """Return a roll-out's order with what was written of it."""
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
    """Return an entry that takes news."""
    spec = _decode(wire, WirePeer)
    return Peer(name=wire.metadata.name, address=split_address(spec.address))


def encode_status(status: RolloutStatus) -> dict[str, object]:
    """Return the status for the store."""
    return {
        "state": STATE_WORDS[status.state],
        "to": status.version,
        "since": status.since,
    }


def _decode_status(wire: WireObject) -> RolloutStatus | None:
    try:
        status = msgspec.json.decode(wire.status, type=WireStatus | None)
        if status is None:
            return None
        state = STATES[status.state]
    except (msgspec.DecodeError, KeyError) as error:
        log.warning("store: status of {} can't be read: {}", wire.metadata.name, error)
        return None
    return RolloutStatus(state=state, version=status.to, since=status.since)


def _decode(wire: WireObject, kind: type) -> object:
    try:
        return msgspec.json.decode(wire.spec, type=kind)
    except msgspec.DecodeError as error:
        raise FormatError(f"{wire.metadata.name}: {error}") from error
