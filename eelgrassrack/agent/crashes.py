"""Distinguish a crash of the endpoint from a single broken connection.

When an endpoint crashes all its connections break one after the other, and every
attempt that ran is suspected of being the cause.  If a connection breaks while
the endpoint stays up, only that answer is lost and no attempt is suspected.
"""

import asyncio
from collections.abc import Awaitable, Callable

import logbook

from ..mailbox.messages import AnyMessage, Crash
from .attempts import Attempt, Attempts

log = logbook.Logger("crashes")

# Returns whether the endpoint is up and hasn't restarted since the given time.
IsAlive = Callable[[float], Awaitable[bool]]


class CrashDetector:
    """Probe the endpoint after a broken connection, once for all that broke."""

    __slots__ = (
        "_announce",
        "_attempts",
        "_endpoint",
        "_is_alive",
        "_on_crash",
        "_probe",
    )

    def __init__(
        self,
        *,
        endpoint: str,
        attempts: Attempts,
        is_alive: IsAlive,
        announce: Callable[[AnyMessage], None],
        on_crash: Callable[[], None],
    ) -> None:
        self._endpoint = endpoint
        self._attempts = attempts
        self._is_alive = is_alive
        self._announce = announce
        self._on_crash = on_crash
        self._probe: asyncio.Task[bool] | None = None

    async def has_crashed(self, attempt: Attempt) -> bool:
        """Return whether the endpoint crashed while this attempt ran.

        The call for the first broken connection collects the attempts that ran at
        the same time, before these end as well.
        """
        if self._probe is None:
            suspects = [
                each
                for each in self._attempts.running.values()
                if not each.is_suspected
            ]
            loop = asyncio.get_running_loop()
            self._probe = loop.create_task(
                self._probe_endpoint(attempt.began, suspects)
            )
        probe = self._probe
        crashed = await asyncio.shield(probe)
        if self._probe is probe:
            self._probe = None
        return crashed

    async def _probe_endpoint(self, since: float, suspects: list[Attempt]) -> bool:
        if await self._is_alive(since):
            return False
        self._on_crash()
        for attempt in suspects:
            attempt.is_suspected = True
        self._report([attempt.start for attempt in suspects])
        return True

    def _report(self, starts: list) -> None:
        fingerprints = {start.fingerprint for start in starts if start.fingerprint}
        if not fingerprints:
            return
        log.warning("crashes: endpoint crashed with {} running attempts", len(starts))
        # A request that happened to be the only one running isn't proven to be the
        # cause, because the endpoint may have crashed by itself.  Only a request
        # that ran alone because it was already suspected is.
        alone = any(start.alone for start in starts)
        self._announce(
            Crash(
                endpoint=self._endpoint,
                fingerprints=tuple(sorted(fingerprints)),
                alone=alone,
                parts=tuple(sorted({part for start in starts for part in start.parts})),
            )
        )
