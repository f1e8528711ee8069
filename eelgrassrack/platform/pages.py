"""Decoding of lists and changes, in which one odd item doesn't hide the others."""

import msgspec

from ..decoding import decode_json
from ..errors import FormatError
from ..jsonparts import NULL, cut_deep, find_name, split_array, split_object
from .objects import Revision, WireEvent, WireMeta, WireObject, WirePage, WireWatch

FALSE = b"false"


class OddItem(msgspec.Struct, frozen=True):
    """An item whose metadata can't be read, and why; `name` is empty if it has none."""

    name: str
    reason: str


class Page(msgspec.Struct, kw_only=True, frozen=True):
    """One page of a list."""

    items: tuple[WireObject | OddItem, ...]
    store_revision: int
    has_more: bool = False


class Changes(msgspec.Struct, kw_only=True, frozen=True):
    """The changes that a watch returned."""

    events: tuple[WireEvent | OddItem, ...]
    store_revision: int


def read_page(body: bytes) -> Page:
    """Decode one page of a list; raise `FormatError` if it isn't one."""
    try:
        whole = decode_json(body, kind=WirePage)
    except FormatError:
        return _read_odd_page(body)
    return Page(
        items=whole.items, store_revision=whole.store_revision, has_more=whole.has_more
    )


def _read_odd_page(body: bytes) -> Page:
    members = split_object(cut_deep(body))
    return Page(
        items=tuple(map(_read_item, split_array(members.get("items", NULL)))),
        store_revision=_read_revision(members),
        has_more=decode_json(members.get("hasMore", FALSE), kind=bool),
    )


def read_changes(body: bytes) -> Changes:
    """Decode the answer to a watch; raise `FormatError` if it isn't one."""
    try:
        whole = decode_json(body, kind=WireWatch)
    except FormatError:
        return _read_odd_changes(body)
    return Changes(events=whole.events, store_revision=whole.store_revision)


def _read_odd_changes(body: bytes) -> Changes:
    members = split_object(cut_deep(body))
    return Changes(
        events=tuple(map(_read_event, split_array(members.get("events", NULL)))),
        store_revision=_read_revision(members),
    )


def read_object(body: bytes) -> WireObject | OddItem:
    """Decode one object; raise `FormatError` if the body isn't one."""
    try:
        return decode_json(body, kind=WireObject)
    except FormatError:
        return _read_item(cut_deep(body))


def _read_revision(members: dict[str, bytes]) -> int:
    return decode_json(members.get("storeRevision", NULL), kind=Revision)


def _read_event(part: bytes) -> WireEvent | OddItem:
    try:
        members = split_object(part)
        found = _read_item(members.get("object", NULL))
        tombstone = decode_json(members.get("tombstone", FALSE), kind=bool)
    except FormatError as error:
        return OddItem("", str(error))
    return found if isinstance(found, OddItem) else WireEvent(found, tombstone)


def _read_item(part: bytes) -> WireObject | OddItem:
    """Return an object whose content isn't decoded, as that may be what is odd."""
    try:
        members = split_object(part)
        metadata = members.get("metadata", NULL)
    except FormatError as error:
        return OddItem("", str(error))
    try:
        return WireObject(
            metadata=decode_json(metadata, kind=WireMeta),
            spec=msgspec.Raw(members.get("spec", NULL)),
            status=msgspec.Raw(members.get("status", NULL)),
        )
    except FormatError as error:
        return OddItem(find_name(metadata), str(error))
