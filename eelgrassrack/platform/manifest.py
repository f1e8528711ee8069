"""Decoding of the platform's manifest into the gateway's configuration."""

from typing import Annotated

import msgspec

from ..decoding import decode_json
from ..errors import FormatError
from ..gateway.requests.messages import RouteKind
from ..gateway.store.configuration import (
    Configuration,
    Limits,
    Organisation,
    Route,
    Service,
    Target,
)

KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}
MILLISECONDS = 1000.0

# Larger numbers are garbled, and can't be sent to peers or added to times.
Whole = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
Amount = Annotated[float, msgspec.Meta(ge=-1e12, le=1e12)]


class WireTarget(msgspec.Struct, frozen=True):
    """A service that receives a share of a route's traffic."""

    service: str
    weight: Amount


class WireRoute(msgspec.Struct, frozen=True, rename="camel"):
    """A route.

    A `public` route needs no API key.  Fields ending in `_ms` are in milliseconds.
    `sizes` names the models that may answer, smallest first.
    """

    name: str
    hostname: str
    path_prefix: str
    route_type: str
    timeout_ms: Amount
    target_latency_ms: Amount = 0.0
    priority: Whole = 0
    service: str | None = None
    traffic_split: tuple[WireTarget, ...] | None = None
    max_attempts: Whole = 1
    public: bool = False
    resumable: bool = False
    gap_target_ms: Amount = 0.0
    sizes: tuple[str, ...] | None = None


class WireModel(msgspec.Struct, frozen=True):
    """A model of an engine; `cost` is the price of 1,000 generated tokens."""

    name: str
    cost: Amount = 0.0


class WireEngine(msgspec.Struct, frozen=True, rename="camel"):
    """The capacity and the models of each engine of a service."""

    slots: Whole = 1
    kv_capacity_tokens: Whole = 0
    models: tuple[WireModel, ...] = ()


class WireService(msgspec.Struct, frozen=True, rename="camel"):
    """A service and how to reach its endpoints.

    `cold_per_s` is how many requests a second a cold endpoint can serve; `cold_s` is
    in seconds.
    """

    name: str
    health_path: str = "/healthz"
    max_connections: Whole = 100
    cold_s: Amount = 0.0
    cold_per_s: Amount = 0.0
    engine: WireEngine | None = None


class WireLimits(msgspec.Struct, frozen=True, rename="camel"):
    """Limits on what a caller may send, in bytes and milliseconds."""

    max_header_bytes: Whole = 16_384
    max_body_bytes: Whole = 4_194_304
    header_timeout_ms: Amount = 3_000.0
    idle_timeout_ms: Amount = 15_000.0


class WireOrganisation(msgspec.Struct, frozen=True, rename="camel"):
    """An organisation and its API keys."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: Whole | None = None


class WireManifest(msgspec.Struct, frozen=True):
    """The whole manifest; without `tenants` no API key is needed."""

    version: Whole
    routes: tuple[WireRoute, ...] = ()
    services: tuple[WireService, ...] = ()
    limits: WireLimits = WireLimits()
    tenants: tuple[WireOrganisation, ...] | None = None


def decode_manifest(data: msgspec.Raw | bytes) -> Configuration:
    """Decode a manifest; raise `FormatError` if it is malformed."""
    try:
        wire = decode_json(data, kind=WireManifest)
        routes = tuple(_decode_route(route) for route in wire.routes)
    except (FormatError, KeyError) as error:
        raise FormatError(f"malformed manifest: {error}") from error
    organisations = wire.tenants or ()
    return Configuration(
        version=wire.version,
        routes=routes,
        services={service.name: _decode_service(service) for service in wire.services},
        keys={
            key: Organisation(name=organisation.name, priority=organisation.priority)
            for organisation in organisations
            for key in organisation.api_keys
        },
        limits=Limits(
            header_bytes=wire.limits.max_header_bytes,
            body_bytes=wire.limits.max_body_bytes,
            header_seconds=wire.limits.header_timeout_ms / MILLISECONDS,
            idle_seconds=wire.limits.idle_timeout_ms / MILLISECONDS,
        ),
        checks_keys=wire.tenants is not None,
    )


def _decode_route(wire: WireRoute) -> Route:
    split = wire.traffic_split or (WireTarget(wire.service or "", 1.0),)
    return Route(
        name=wire.name,
        host=wire.hostname.lower(),
        prefix=wire.path_prefix,
        kind=KINDS[wire.route_type],
        timeout=wire.timeout_ms / MILLISECONDS,
        objective=wire.target_latency_ms / MILLISECONDS,
        targets=tuple(
            Target(service=target.service, weight=target.weight) for target in split
        ),
        attempts=wire.max_attempts,
        priority=wire.priority,
        is_open=wire.public,
        is_resumable=wire.resumable,
        gap=wire.gap_target_ms / MILLISECONDS,
        models=wire.sizes or (),
    )


def _decode_service(wire: WireService) -> Service:
    engine = wire.engine or WireEngine()
    return Service(
        name=wire.name,
        health_path=wire.health_path,
        connections=wire.max_connections,
        cold_seconds=wire.cold_s,
        cold_rate=wire.cold_per_s,
        slots=engine.slots,
        memory_tokens=engine.kv_capacity_tokens,
        costs=tuple((model.name, model.cost) for model in engine.models),
    )
