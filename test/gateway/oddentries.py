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


# Addresses that can't be connected to, by what is odd about them.
ODD_ADDRESSES = {
    "nothing": "",
    "no port": "127.0.0.1",
    "an empty port": "127.0.0.1:",
    "an empty host": ":80",
    "port 0": "127.0.0.1:0",
    "a port out of range": "127.0.0.1:65536",
    "a port of 70000": "127.0.0.1:70000",
    "a port below 0": "127.0.0.1:-1",
    "a port of 5,000 digits": "127.0.0.1:" + "9" * 5_000,
    "a port in other digits": "127.0.0.1:٨٠",
    "a port with blanks": "127.0.0.1: 80",
    "a NUL": "127.0.0.1\0:80",
    "a name": "engine.example:80",
    "a name of this machine": "localhost:80",
    "a name that can't be encoded": "\N{SNOWMAN}" * 70 + ":80",
    "a long name": "a" * 70_000 + ":80",
    "a part of an address": "127.1:80",
    "another family's": "[::1]:80",
    "a URL": "http://127.0.0.1:80",
    "any host": "0.0.0.0:80",
    "a group of hosts": "224.0.0.1:80",
    "all hosts": "255.255.255.255:80",
    "a line break": "127.0.0.1:80\n",
}


# Numbers of an endpoint's entry that are out of range.
ODD_NUMBERS = {
    "slots beyond all": {"slots": b"9" * 400},
    "slots of a whole 64 bits": {"slots": b"18446744073709551615"},
    "cold for ever": {"coldRemainingMs": b"1e308"},
    "born beyond 64 bits": {"born": b"9" * 30},
    "born before all": {"born": b"-" + b"9" * 30},
}
