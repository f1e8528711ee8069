"""Picks the version for a request, and pins sessions to their version.

A session is pinned at its first request, even while its model has only one
version: a pin made after the roll-out of a second one couldn't distinguish
old sessions from new ones and might move them.  The response holds the same
pin as a signed token; if the caller sends it back, the store isn't read.
"""

import random

import msgspec

from ..decisions.pins import Choose, Keep, Pinned, RefuseWithdrawn, Unpinned, judge_pin
from ..decisions.rollout import PlannedVersion, RolloutHealth, choose_version
from ..decisions.sampling import find_sample_share
from ..document.sections import Organisation, Policy
from ..invariants import Invariants, Promise
from ..store.pins import (
    BadToken,
    PinnedTo,
    Pins,
    PinUnavailable,
    TokenRead,
    read_token,
    sign_token,
)
from .arrivals import RequestOptions
from .refusals import CallerError, refuse_unavailable
from .routes import RouteStep

# Fraction of all delivered answers that may be rated afterwards.
SAMPLE_BUDGET = 0.2


class PickedVersion(msgspec.Struct, kw_only=True, frozen=True):
    """The version for one step, and the session's token for it.

    `sample_share` is the fraction of the version's answers to rate afterwards.
    """

    version: str
    token: str = ""
    sample_share: float = 0.0


class Sessions:
    """Picks versions by their shares, and keeps sessions on their version."""

    __slots__ = ("_health", "_invariants", "_pins", "_rng")

    def __init__(
        self,
        *,
        pins: Pins,
        health: RolloutHealth,
        invariants: Invariants,
        rng: random.Random,
    ) -> None:
        self._pins = pins
        self._health = health
        self._invariants = invariants
        self._rng = rng

    async def pick(
        self,
        *,
        organisation: Organisation,
        step: RouteStep,
        options: RequestOptions,
        policy: Policy,
        now: float,
    ) -> PickedVersion | CallerError:
        """Return the version for a step of a request."""
        shares = self._find_shares(step, policy, now)
        picked = await self._pick(organisation, step, options, shares)
        if isinstance(picked, CallerError):
            return picked
        sample_share = find_sample_share(
            version=picked.version, shares=shares, budget=SAMPLE_BUDGET
        )
        return msgspec.structs.replace(picked, sample_share=sample_share)

    async def _pick(
        self,
        organisation: Organisation,
        step: RouteStep,
        options: RequestOptions,
        shares: dict[str, float],
    ) -> PickedVersion | CallerError:
        if not options.session:
            return self._choose(shares)
        known = self._read_token(organisation, step, options)
        if isinstance(known, Unpinned):
            return await self._pin(organisation, step, options, shares)
        return self._check_pin(known, organisation, step, options)

    async def _pin(
        self,
        organisation: Organisation,
        step: RouteStep,
        options: RequestOptions,
        shares: dict[str, float],
    ) -> PickedVersion | CallerError:
        chosen = self._choose(shares)
        if isinstance(chosen, CallerError):
            return chosen
        result = await self._pins.pin(
            organisation=organisation.name,
            session=options.session,
            model=step.model,
            version=chosen.version,
        )
        match result:
            case PinUnavailable(reason=reason, retry_after=retry_after):
                # Without the store the session's version is unknown.  Any choice
                # could move the session, so the request is refused.
                return refuse_unavailable(
                    reason=f"session_unknown: {reason}", retry_after=retry_after
                )
            case PinnedTo(version=version):
                pin = Pinned(version=version)
                return self._check_pin(pin, organisation, step, options)

    def _check_pin(
        self,
        pin: Pinned,
        organisation: Organisation,
        step: RouteStep,
        options: RequestOptions,
    ) -> PickedVersion | CallerError:
        verdict = judge_pin(
            pin=pin,
            active=frozenset(version.name for version in step.active),
            permitted=frozenset(version.name for version in step.versions),
        )
        match verdict:
            case RefuseWithdrawn(version=version):
                return _refuse_withdrawn(version)
            case Choose():
                return _refuse_other(pin.version)
            case Keep(version=version):
                self._invariants.check(
                    Promise.SESSION, version == pin.version, f"{pin} got {version}"
                )
                token = sign_token(
                    secret=_find_secret(organisation),
                    organisation=organisation.name,
                    session=options.session,
                    model=step.model,
                    version=version,
                )
                return PickedVersion(version=version, token=token)

    def _find_shares(
        self, step: RouteStep, policy: Policy, now: float
    ) -> dict[str, float]:
        planned = [
            PlannedVersion(name=version.name, weight=version.weight, active=True)
            for version in step.active
        ]
        return self._health.find_shares(versions=planned, now=now, policy=policy)

    def _choose(self, shares: dict[str, float]) -> PickedVersion | CallerError:
        chosen = choose_version(shares=shares, chance=self._rng.random())
        if chosen is None:
            return refuse_unavailable(reason="no_version", retry_after=5.0)
        return PickedVersion(version=chosen)

    def _read_token(
        self, organisation: Organisation, step: RouteStep, options: RequestOptions
    ) -> Pinned | Unpinned:
        if not options.session_token:
            return Unpinned()
        result = read_token(
            secret=_find_secret(organisation),
            token=options.session_token,
            organisation=organisation.name,
            session=options.session,
            model=step.model,
        )
        match result:
            case TokenRead(version=version):
                return Pinned(version=version)
            case BadToken():
                return Unpinned()


def _find_secret(organisation: Organisation) -> bytes:
    # All entries know the digest.  A caller that forges a token with it gets only a
    # version that it may also request by name.
    return organisation.key_digest.encode()


def _refuse_withdrawn(version: str) -> CallerError:
    return CallerError(
        status=410,
        code="session_version_withdrawn",
        text=f"This session's version {version} is withdrawn. Begin a new session.",
    )


def _refuse_other(version: str) -> CallerError:
    return CallerError(
        status=409,
        code="session_version_not_permitted",
        text=f"This session has version {version}, which this request may not use.",
    )
