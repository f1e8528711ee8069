"""Ratings of answers, and what they teach the decisions.

A cascade's answers are rated before they are delivered.  Others are
rated after delivery, as a sample, so that a version that turned bad is
noticed.  A rating service that is away leaves answers unrated; it never
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
from .jobs import Dispatched
from .refusals import CallerError

log = logbook.Logger("ratings")

# Ratings under way at once; more are left out, not queued.
MOST_SAMPLES = 32
SAMPLE_TIMEOUT = 5.0


class Ratings:
    """Ask the rating service and pass on what it says."""

    __slots__ = ("_chooser", "_client", "_clock", "_health", "_rng", "_samples")

    def __init__(
        self,
        *,
        client: RatingClient | None,
        chooser: CascadePlanner,
        health: RolloutHealth,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._client = client
        self._chooser = chooser
        self._health = health
        self._rng = rng
        self._clock = clock
        self._samples: set[asyncio.Task] = set()

    def wants_sample(self, *, share: float) -> bool:
        """Tell whether an answer should be kept to be rated.

        `share` is the part of its version's answers that are.
        """
        if self._client is None or len(self._samples) >= MOST_SAMPLES:
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
                log.debug("ratings: none for {}: {}", version, reason)
                self._chooser.note(kind=kind, rung_model=model, rating=None, now=now)
                return None
            case Rated(score=score):
                self._chooser.note(kind=kind, rung_model=model, rating=score, now=now)
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
                timeout=SAMPLE_TIMEOUT,
            )
        )
        self._samples.add(task)
        task.add_done_callback(self._samples.discard)

    def note_end(
        self, *, version: str, dispatched: Dispatched | CallerError, seconds: float
    ) -> None:
        """Tell the roll-out's health how an attempt on a version ended."""
        if isinstance(dispatched, CallerError):
            return
        match dispatched.outcome:
            case Completed():
                failed = False
            case AttemptFailed() | OutcomeUnknown():
                failed = True
            case _:
                return
        sample = Sample(version=version, failed=failed, rating=None, seconds=seconds)
        self._health.note(sample=sample, now=self._clock())

    async def stop(self) -> None:
        """Drop the ratings under way."""
        for task in tuple(self._samples):
            task.cancel()
        await asyncio.gather(*self._samples, return_exceptions=True)
