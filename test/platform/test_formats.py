"""Tests of the platform's formats."""

import re
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

import eelgrassrack
from eelgrassrack.errors import FormatError
from eelgrassrack.gateway.endpoints.endpoint import Endpoint
from eelgrassrack.gateway.requests.messages import EndpointLoad, PromptPart, RouteKind
from eelgrassrack.gateway.store.storeobjects import RolloutState, RolloutStatus
from eelgrassrack.platform import headers, objects
from eelgrassrack.platform.manifest import decode_manifest
from eelgrassrack.platform.objects import WireMeta, WireObject

from ..gateway.world import make_manifest

PACKAGE = Path(eelgrassrack.__file__).parent

# Header names and camel-case fields of the platform's bodies.  Names that the rest of
# the package also uses, such as `version`, aren't included.
WIRE_NAMES = re.compile(
    r"X-Attempt-Id|X-Deadline-Ms|X-Prompt-Prefix|X-Server-Stamp|X-Tenant"
    r"|X-Expect-Instance|X-Instance|X-Not-Executed|X-Cold-Ms|X-Model"
    r"|X-Token-Usage|X-Request-Priority|X-Weight-Versions|X-Confidence"
    r"|coldRemainingMs|trafficSplit|pathPrefix|routeType|timeoutMs"
    r"|targetLatencyMs|maxAttempts|apiKeys|gapTargetMs|coldPerS|maxConnections"
    r"|storeRevision|hasMore|staleOk|waitMs|durationS|rolled_back\"|/objects/"
    r"|/readyz|EELGRASSRACK_SETTINGS|nodeName|internalPorts|machineClass"
)


def decode(**headers_in):
    pairs = [(name.replace("_", "-"), value) for name, value in headers_in.items()]
    return headers.decode_arrival(method="POST", target="/a/b?c", pairs=pairs, now=1.0)


def make_object(spec, **rest):
    return WireObject(
        metadata=WireMeta(name="x", revision=4, created=2),
        spec=msgspec.Raw(msgspec.json.encode(spec)),
        **rest,
    )


def test_wire_names_are_used_only_in_the_platform_package():
    found = [
        f"{path.relative_to(PACKAGE)}:{number}"
        for path in PACKAGE.rglob("*.py")
        if path.relative_to(PACKAGE).parts[0] != "platform"
        for number, line in enumerate(path.read_text().splitlines(), start=1)
        if WIRE_NAMES.search(line)
    ]
    unexpected = [place for place in found if not place.startswith(OLD_OBJECT_API)]
    assert not unexpected


# The older object API has paths of its own that match the pattern.
OLD_OBJECT_API = ("store/client.py", "store/replies.py", "standins/object")


def test_an_arrival_is_decoded():
    arrival = decode(
        Host="Api.Example:80",
        X_Attempt_Id="a1",
        X_Deadline_Ms="2500",
        X_Model="*",
        X_Token_Usage="1460,80",
        X_Prompt_Prefix="5c:800,91:410",
        X_Length_Hint="20",
        Session="s",
        Authorization="Bearer key",
        Last_Event_Id="12",
    )
    assert (arrival.host, arrival.path, arrival.target) == (
        "api.example",
        "/a/b",
        "/a/b?c",
    )
    assert (arrival.id, arrival.timeout, arrival.key) == ("a1", 2.5, "key")
    assert (arrival.tokens_in, arrival.tokens_out, arrival.length_hint) == (
        1460,
        80,
        20,
    )
    assert arrival.parts == (PromptPart("5c", 800), PromptPart("91", 410))
    assert (arrival.model, arrival.session, arrival.resume_after) == ("*", "s", "12")


@given(
    st.dictionaries(
        st.sampled_from(
            [
                "X-Deadline-Ms",
                "X-Token-Usage",
                "X-Prompt-Prefix",
                "Authorization",
                "X-Length-Hint",
                "Connection",
                "Host",
            ]
        ),
        st.text(st.characters(min_codepoint=32, max_codepoint=255), max_size=30),
    )
)
def test_any_header_can_be_read(fields):
    """A caller sends malformed header values, which are ignored."""
    arrival = headers.decode_arrival(
        method="GET", target="/", pairs=fields.items(), now=0.0
    )
    assert arrival.timeout is None or arrival.timeout >= 0
    assert all(part.tokens >= 0 for part in arrival.parts)


def test_headers_of_one_connection_end_there():
    arrival = decode(Connection="X-Gone, close", X_Gone="1", X_Kept="2")
    names = [name for name, _ in arrival.headers]
    assert names == ["X-Kept"]


def test_a_caller_cant_speak_for_the_router():
    """It could reserve an engine, or use the memory of another caller's request."""
    arrival = decode(
        X_Hold="h",
        X_Pin_Ms="9",
        X_Kv_Backup="b",
        Kv_From="f",
        Kv_Fetch="g",
        X_Tenant="t",
        X_Expect_Instance="i",
        X_Expect_Version="3",
    )
    assert arrival.headers == ()


def test_a_request_is_encoded():
    arrival = decode(Host="h", X_Model="*", X_Attempt_Id="a1", X_Own="kept")
    pairs = dict(
        headers.encode_request(
            arrival=arrival,
            endpoint="i-1",
            organisation="first",
            remaining=1.2345,
            resume_after="7",
            model="small",
            priority=None,
        )
    )
    assert pairs["X-Model"] == "small"
    assert pairs["X-Deadline-Ms"] == "1234"
    assert pairs["X-Expect-Instance"] == "i-1"
    assert pairs["X-Tenant"] == "first"
    assert pairs["Last-Event-Id"] == "7"
    assert pairs["X-Own"] == "kept"
    assert pairs["Content-Length"] == "0"


def head(status=200, **fields):
    pairs = [(name.replace("_", "-"), value) for name, value in fields.items()]
    return headers.decode_head(status=status, reason="r", pairs=pairs)


def test_an_answer_s_head_is_decoded():
    found = head(
        X_Server_Stamp="s",
        X_Instance_Load="3,1,8",
        Keep_Alive="timeout=5",
        Connection="close",
        X_Confidence="40",
        Content_Type="text/event-stream; x",
    )
    assert found.is_whole
    assert found.is_event_stream
    assert found.load == EndpointLoad(3, 1, 8)
    assert (found.keep_alive, found.will_close, found.confidence) == (5.0, True, 40)
    assert ("X-Server-Stamp", "s") in found.headers
    assert "Keep-Alive" not in dict(found.headers)


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ("3,1,8", EndpointLoad(3, 1, 8)),
        ("3, 1, 8, 170", EndpointLoad(3, 1, 8, 1.7)),
        ("3,1,8,100,77", EndpointLoad(3, 1, 8, 1.0)),
        ("3,1,8,0", EndpointLoad(3, 1, 8)),
        ("3,1", None),
        ("3,1,8,-5", None),
        ("3,1,8,2.5", None),
        ("3,1,8,99999999999", None),
        ("\u0663,1,8", None),
        ("", None),
    ],
)
def test_a_report_of_load_has_three_figures_or_more(text, load):
    """A figure that is unknown, or garbled, must not count as one that is known."""
    assert head(X_Instance_Load=text).load == load


def test_not_run_and_is_whole_are_decoded():
    assert head(503, X_Not_Executed="1").not_run
    assert head(421).not_run
    assert not head(503).not_run
    assert not head(200, X_Server_Stamp="s", Content_Encoding="gzip").is_whole
    assert not head(200).is_whole


def test_a_manifest_is_decoded():
    plan = decode_manifest(msgspec.json.encode(make_manifest(version=4)))
    routes = {route.name: route for route in plan.routes}
    assert plan.version == 4
    assert routes["chat"].kind is RouteKind.STREAM
    assert routes["chat"].is_repeatable
    assert not routes["once"].is_repeatable
    assert routes["short"].timeout == 0.3
    assert plan.services["models"].cold_rate == 20.0
    assert plan.keys["key-of-first"].name == "first"


@pytest.mark.parametrize(
    "data", [b"", b"[]", b'{"version":"x"}', b'{"version":1,"routes":[{"name":"a"}]}']
)
def test_a_manifest_that_cant_be_read_is_an_error(data):
    with pytest.raises(FormatError):
        decode_manifest(data)


ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "north",
    "version": "v1",
    "slots": 6,
    "state": "draining",
    "born": 7,
    "coldRemainingMs": 1500,
}


def test_an_endpoint_is_decoded():
    assert objects.decode_endpoint(make_object(ENTRY)) == Endpoint(
        name="x",
        born=7,
        service="s",
        address=("10.0.0.1", 80),
        domain="north",
        version="v1",
        slots=6,
        is_draining=True,
        cold=1.5,
    )


@pytest.mark.parametrize(
    "change",
    [{"state": "odd"}, {"address": "nowhere"}, {"slots": "6"}, {"service": None}],
)
def test_a_malformed_endpoint_is_an_error(change):
    with pytest.raises(FormatError):
        objects.decode_endpoint(make_object({**ENTRY, **change}))


def test_a_status_is_read_as_it_was_written():
    status = RolloutStatus(state=RolloutState.DONE, version="v2", since=12.5)
    wire = make_object(
        {"service": "s", "to": "v2", "durationS": 12},
        status=msgspec.Raw(msgspec.json.encode(objects.encode_status(status))),
    )
    order = objects.decode_order(wire)
    assert order.status == status
    assert (order.seconds, order.revision, order.created) == (12, 4, 2)


def decode_limit(*values):
    head = headers.decode_head(
        status=200, reason="OK", pairs=[("Server-Limit", value) for value in values]
    )
    return head.limit, head.odd_limit


def test_a_limit_is_a_plain_positive_number_that_stands_alone():
    """Guards against a garbled header that lets everything through, or nothing."""
    assert decode_limit() == (None, None)
    assert decode_limit("1.5") == (1.5, None)
    assert decode_limit("20") == (20.0, None)
    for odd in ("", "0", "-2", "1e9", "nan", "inf", "1,5", "999999999", "many"):
        assert decode_limit(odd) == (None, odd)
    assert decode_limit("2", "3") == (None, "2, 3")
