"""Generates operators' documents of any size, for measurements."""

import hashlib
import itertools

# Prefix of the API keys.
KEY = "bench-key-"
MODEL = "m"
VERSION = "m/1"
SERVICE = "lookup"
POOL = "engines"
SERVICE_POOL = "services"


def make_key(number: int) -> str:
    """Return the API key of the organisation `o{number}`."""
    return f"{KEY}{number}"


def make_document(
    *,
    organisations: int = 1,
    models: int = 1,
    domains: int = 1,
    concurrency: int = 1000,
) -> str:
    """Return a document whose limits are too high to refuse a benchmark's load."""
    names = [MODEL, *(f"m{number}" for number in range(1, models))]
    lines = itertools.chain(
        *(_make_organisation(number, names) for number in range(organisations)),
        *([f"[model {name}]", f"[version {name}/1]"] for name in names),
        *([f"[domain d{number}]"] for number in range(domains)),
        [f"[service {SERVICE}]"],
        ["[team all]", "sections = *"],
        _make_pool(POOL, f"serves = {VERSION}", concurrency),
        _make_pool(SERVICE_POOL, f"service = {SERVICE}", concurrency),
        *(
            _make_pool(f"pool-{name}", f"serves = {name}/1", concurrency)
            for name in names[1:]
        ),
    )
    return "\n".join(lines) + "\n"


def _make_organisation(number: int, models: list[str]) -> list[str]:
    digest = hashlib.sha256(make_key(number).encode()).hexdigest()
    return [
        f"[organisation o{number}]",
        f"key_digest = {digest}",
        f"allows = {', '.join(models)}",
        f"services = {SERVICE}",
        f"weight = {1 + number % 4}",
        "requests_per_second = 100000",
        "burst = 1000000",
        "concurrent = 100000",
    ]


def _make_pool(name: str, serves: str, concurrency: int) -> list[str]:
    return [
        f"[pool {name}]",
        serves,
        f"concurrency = {concurrency}",
        f"cold_concurrency = {concurrency}",
    ]
