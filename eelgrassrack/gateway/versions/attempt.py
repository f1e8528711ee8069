"""One attempt of a request, as roll-outs judge it."""

import msgspec

from ...decisions.answertimes import NO_SLOWNESS, AnswerTimes, Slowness


class VersionAttempt(msgspec.Struct, kw_only=True):
    """One attempt at an endpoint of a service, with its times so far.

    `is_sent` says that it was sent, `has_reached` that its endpoint began to answer it.
    `slowness` is that of its answer, once it has ended.
    """

    service: str
    version: str
    route: str
    model: str
    endpoint: str
    times: AnswerTimes
    is_sent: bool = False
    has_reached: bool = False
    slowness: Slowness = NO_SLOWNESS
