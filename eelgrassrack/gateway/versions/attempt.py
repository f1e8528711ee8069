"""One attempt of a request, as roll-outs judge it."""

import msgspec

from ...decisions.answertimes import NO_SLOWNESS, AnswerTimes, Slowness


class VersionAttempt(msgspec.Struct, kw_only=True):
    """One attempt at an endpoint of a service, with its times so far.

    `slowness` is that of its answer, once it has ended.
    """

    service: str
    version: str
    route: str
    model: str
    endpoint: str
    times: AnswerTimes
    slowness: Slowness = NO_SLOWNESS
