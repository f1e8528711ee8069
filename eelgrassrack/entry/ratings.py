"""Ratings of answers, which the cascade and the roll-out of versions use.

The answers of a cascade are rated before they are delivered.  A sample of the
other answers is rated after delivery, to detect a version that has become
worse.  If the rating service is unavailable, answers stay unrated; it never
delays one for longer than its timeout.
"""

import asyncio
import random
from collections.abc import Callable

import logbook

from ..decisions.cascade import CascadePlanner
from ..decisions.rollout import RolloutHealth, Sample
from ..store.platform import NotRated, Rated, RatingClient
from .channels import AttemptFailed, Completed, OutcomeUnknown
from .jobs import DispatchResult
from .refusals import CallerError

log = logbook.Logger("ratings")

# Concurrent ratings of samples; further samples are skipped, not queued.
MAX_SAMPLES = 32
SAMPLE_TIMEOUT_SECONDS = 5.0


class Ratings:
    """Requests ratings and passes them to the cascade and the roll-out health."""

    __slots__ = ("_planner", "_client", "_clock", "_health", "_rng", "_samples")

    def __init__(
        self,
        *,
        client: RatingClient | None,
        planner: CascadePlanner,
        health: RolloutHealth,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._client = client
        self._planner = planner
        self._health = health
        self._rng = rng
        self._clock = clock
        self._samples: set[asyncio.Task] = set()

    def wants_sample(self, *, share: float) -> bool:
        """Return whether an answer should be sampled for rating.

        `share` is the fraction of its version's answers to sample.
        """
        if self._client is None or len(self._samples) >= MAX_SAMPLES:
            return False
        return self._rng.random() < share

    async def rate(
        self,
        *,
        kind: str,
        model: str,
        version: str,
        prompt: str,
        answer: str,
        timeout: float,
    ) -> float | None:
        """Return an answer's rating from 0 to 1, or None if none came."""
        if self._client is None or timeout <= 0:
            return None
        result = await self._client.rate(
            kind=kind, model=version, prompt=prompt, answer=answer, timeout=timeout
        )
        now = self._clock()
        match result:
            case NotRated(reason=reason):
                log.debug("ratings: no rating for {}: {}", version, reason)
                self._planner.note(kind=kind, rung_model=model, rating=None, now=now)
                return None
            case Rated(score=score):
                self._planner.note(kind=kind, rung_model=model, rating=score, now=now)
                sample = Sample(version=version, failed=False, rating=score, seconds=0)
                self._health.note(sample=sample, now=now)
                return score

    def sample(
        self, *, kind: str, model: str, version: str, prompt: str, answer: str
    ) -> None:
        """Rate a delivered answer in the background."""
        task = asyncio.create_task(
            self.rate(
                kind=kind,
                model=model,
                version=version,
                prompt=prompt,
                answer=answer,
                timeout=SAMPLE_TIMEOUT_SECONDS,
            )
        )
        self._samples.add(task)
        task.add_done_callback(self._samples.discard)

    def note_end(
        self, *, version: str, result: DispatchResult | CallerError, seconds: float
    ) -> None:
        """Report the result of a step to the roll-out health.

        `seconds` is the duration of the step.
        """
        if isinstance(result, CallerError):
            return
        match result.outcome:
            case Completed():
                failed = False
            case AttemptFailed() | OutcomeUnknown():
                failed = True
            case _:
                return
        sample = Sample(version=version, failed=failed, rating=None, seconds=seconds)
        self._health.note(sample=sample, now=self._clock())

    async def stop(self) -> None:
        """Cancel the ratings in progress."""
        for task in tuple(self._samples):
            task.cancel()
        await asyncio.gather(*self._samples, return_exceptions=True)
