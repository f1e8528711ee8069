"""Health reports, request records and orders of a stand-in engine."""

from typing import NamedTuple

import msgspec


class StartRecord(NamedTuple):
    """A request that reached the engine at time `at` of the engine's clock."""

    request: str
    version: str
    at: float
    prompt: str


class Health(msgspec.Struct, kw_only=True, frozen=True):
    """An engine's health report."""

    incarnation: str
    cold: bool
    running: int
    waiting: int
    versions: tuple[str, ...]


class Order(msgspec.Struct, kw_only=True, frozen=True):
    """An order to the engine, such as `load MODEL/LABEL`, with its fencing number."""

    order: str
    fence: int
