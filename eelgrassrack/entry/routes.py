"""Routing: the models and versions that can answer a request.

A route is computed from one snapshot of the document and used until the
request ends, so that retries and later rungs use the revision with which the
request was admitted.
"""

import msgspec

from ..document.sections import Organisation, Version
from ..document.snapshot import Snapshot
from .refusals import CallerError


class RouteStep(msgspec.Struct, kw_only=True, frozen=True):
    """One rung: a model, and the versions that the organisation may use."""

    model: str
    versions: tuple[Version, ...]

    @property
    def cost(self) -> float:
        """Return the mean cost of the active versions per 1,000 tokens."""
        active = self.active
        return sum(version.cost for version in active) / max(len(active), 1)

    @property
    def quality(self) -> float:
        """Return the mean expected rating of the active versions."""
        active = self.active
        return sum(version.quality for version in active) / max(len(active), 1)

    @property
    def active(self) -> tuple[Version, ...]:
        """Return the versions that accept new requests."""
        return tuple(v for v in self.versions if v.state.value == "active")


class Route(msgspec.Struct, kw_only=True, frozen=True):
    """The steps that a request can go through, cheapest first."""

    name: str
    steps: tuple[RouteStep, ...]

    @property
    def is_cascade(self) -> bool:
        """Whether the route has more than one step."""
        return len(self.steps) > 1


def find_route(
    *, snapshot: Snapshot, organisation: Organisation, name: str
) -> Route | CallerError:
    """Return the route for a model, an alias, a version or a cascade."""
    cascade = snapshot.cascades.get(name)
    if cascade is not None:
        return _find_cascade(snapshot, organisation, name, cascade.rungs)
    step = find_step(snapshot=snapshot, organisation=organisation, name=name)
    if isinstance(step, CallerError):
        return step
    return Route(name=name, steps=(step,))


def find_step(
    *, snapshot: Snapshot, organisation: Organisation, name: str
) -> RouteStep | CallerError:
    """Return the step for a model, an alias or one version."""
    if name in snapshot.versions:
        labels = (name,)
        model_name = snapshot.versions[name].model
    else:
        model = snapshot.find_model(name=name)
        if model is None:
            return _refuse_unknown(name)
        labels = model.versions
        model_name = model.name
    allowed = tuple(
        snapshot.versions[label]
        for label in labels
        if snapshot.allows(organisation=organisation, version=label)
    )
    if not allowed:
        return CallerError(
            status=403,
            code="model_not_allowed",
            text=f"This organisation may not use {name}.",
        )
    step = RouteStep(model=model_name, versions=allowed)
    if not step.active:
        return CallerError(
            status=410,
            code="version_withdrawn",
            text=f"Every permitted version of {name} is withdrawn.",
        )
    return step


def list_names(*, snapshot: Snapshot, organisation: Organisation) -> list[str]:
    """Return the names that the organisation may request, sorted."""
    names = _find_names(snapshot)
    routes = (
        (name, find_route(snapshot=snapshot, organisation=organisation, name=name))
        for name in names
    )
    return sorted(name for name, route in routes if isinstance(route, Route))


def _find_names(snapshot: Snapshot) -> set[str]:
    """Return all names that a request can ask for."""
    aliases = {alias for model in snapshot.models.values() for alias in model.aliases}
    return {*snapshot.models, *snapshot.versions, *snapshot.cascades, *aliases}


def _find_cascade(
    snapshot: Snapshot,
    organisation: Organisation,
    name: str,
    rungs: tuple[str, ...],
) -> Route | CallerError:
    found = [
        find_step(snapshot=snapshot, organisation=organisation, name=rung)
        for rung in rungs
    ]
    # The cascade skips rungs that are withdrawn or that the organisation may not
    # use.
    steps = tuple(step for step in found if isinstance(step, RouteStep))
    if not steps:
        return found[0]
    return Route(name=name, steps=steps)


def _refuse_unknown(name: str) -> CallerError:
    return CallerError(
        status=404, code="model_not_found", text=f"There is no model named {name}."
    )
