"""Entries of other writers that name nothing to use."""

import msgspec

# Far more levels than a decoder of this process can read, within the store's size.
LEVELS = (1_200, 100_000)


def nest(levels, *, opening=b"[", closing=b"]"):
    return opening * levels + closing * levels


def make_spec(spec, **raw):
    """Return a spec as JSON in which the members of `raw` are these bytes."""
    fields = {name: msgspec.json.encode(value) for name, value in spec.items()}
    members = {**fields, **raw}.items()
    pairs = (b'"%s":%s' % (name.encode(), value) for name, value in members)
    return b"{" + b",".join(pairs) + b"}"


def make_endpoint(address="127.0.0.1:9", **rest):
    """Return the fields of a sound endpoint's entry."""
    return {
        "service": "plain",
        "address": address,
        "zone": "north",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldRemainingMs": 0,
        "born": 1_000,
        **rest,
    }


def make_unreadable(spec, field):
    """Return versions of a spec that can't be decoded, by what is odd about them."""
    deep = {f"{count} levels": nest(count) for count in LEVELS}
    values = {
        **deep,
        "objects in objects": nest(20_000, opening=b'{"a":', closing=b"")
        + b"1"
        + b"}" * 20_000,
        "bytes that aren't UTF-8": b'"\xff\xfe"',
        "a control byte": b'"a\x01b"',
        "a bare word": b"NaN",
        "a number too large": b"1e999",
        "a number of 5,000 digits": b"9" * 5_000,
    }
    return {
        **{name: make_spec(spec, **{field: value}) for name, value in values.items()},
        "a deep field that nobody reads": make_spec(spec, other=nest(LEVELS[0])),
    }
