"""The endpoints that may be used now, and what runs on them."""

from collections.abc import Callable, Iterable

import logbook
import msgspec

from .endpoints import Endpoint
from .endpointstate import EndpointState
from .follower import Contact

log = logbook.Logger("fleet")

# An entry that lapsed while the store was away is back within two seconds of
# its return, less the time that the way to here takes.
LAPSE_SECONDS = 1.8


class VersionChoice(msgspec.Struct, kw_only=True, frozen=True):
    """Which versions may get a request: `only` one, or all but `never`.

    Where `is_strict` isn't set, the others may stand in when there is none.
    """

    only: str | None = None
    never: str | None = None
    is_strict: bool = False

    def allows(self, version: str) -> bool:
        """Tell whether a version is one of them."""
        return version != self.never and self.only in {None, version}


ANY_VERSION = VersionChoice()


class Fleet:
    """All endpoints, with those that are leaving, gone or taken out."""

    __slots__ = (
        "_clock",
        "_contact",
        "_flights",
        "_forget",
        "evacuated",
        "is_known",
    )

    def __init__(
        self,
        *,
        contact: Contact,
        clock: Callable[[], float],
        forget: Callable[[tuple[str, int]], None],
    ) -> None:
        self._contact = contact
        self._clock = clock
        self._forget = forget
        self._flights: dict[str, EndpointState] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.is_known = False

    def __iter__(self) -> Iterable[EndpointState]:
        """Return all lifetimes that are known."""
        return iter(tuple(self._flights.values()))

    def find(self, name: str) -> EndpointState | None:
        """Return what is known of an endpoint."""
        return self._flights.get(name)

    def take_list(self, objects: dict[str, object]) -> None:
        """Take over the whole list."""
        self.is_known = True
        missing = dict.fromkeys(self._flights.keys() - objects.keys())
        self.take_changes({**objects, **missing})

    def take_changes(self, objects: dict[str, object | None]) -> None:
        """Take over entries that changed or were removed."""
        for name, found in objects.items():
            match found:
                case Endpoint():
                    self._take(found)
                case None:
                    self._miss(name)
                case _:
                    # Bytes of another writer name no endpoint to use.
                    log.warning("fleet: entry {} can't be read: {}", name, found)
                    self._miss(name)

    def take_evacuations(self, domains: Iterable[str]) -> None:
        """Take over which failure domains are taken out."""
        domains = frozenset(domains)
        if domains != self.evacuated:
            log.notice("fleet: domains taken out: {}", ", ".join(sorted(domains)))
        self.evacuated = domains

    def adopt(self, endpoints: Iterable[Endpoint]) -> None:
        """Take over the whole list of a peer that reaches the store.

        What is missing there is gone, also while the store doesn't answer
        here: an endpoint that leaves would otherwise get work until it ends.
        """
        self.is_known = True
        by_name = {one.name: one for one in endpoints}
        for flight in tuple(self._flights.values()):
            if flight.endpoint.name not in by_name:
                self._drop(flight, "missing at a peer")
        for endpoint in by_name.values():
            self._take(endpoint)

    def change_evacuations(self, changes: dict[str, object | None]) -> None:
        """Take over failure domains that were taken out or brought back."""
        out = set(self.evacuated) | {
            name for name, found in changes.items() if found is not None
        }
        back = {name for name, found in changes.items() if found is None}
        self.take_evacuations(out - back)

    def sweep(self) -> None:
        """Drop entries that were missing after an outage and stayed away."""
        now = self._clock()
        for flight in tuple(self._flights.values()):
            if flight.missing_since is not None and not self._may_be_back(now):
                self._drop(flight, "still missing after the store's return")

    def find_state(self, endpoint: Endpoint) -> EndpointState | None:
        """Return the lifetime's record, or None once it is gone."""
        flight = self.find(endpoint.name)
        if flight is None or flight.endpoint.lifetime != endpoint.lifetime:
            return None
        return flight

    def select(
        self, *, service: str, versions: VersionChoice = ANY_VERSION
    ) -> list[EndpointState]:
        """Return the lifetimes that may get a request now."""
        usable = [
            flight
            for flight in self._flights.values()
            if flight.endpoint.service == service
            and not flight.endpoint.is_draining
            and flight.endpoint.domain not in self.evacuated
        ]
        chosen = [one for one in usable if versions.allows(one.endpoint.version)]
        return chosen if chosen or versions.is_strict else usable

    def _take(self, endpoint: Endpoint) -> None:
        now = self._clock()
        flight = self._flights.get(endpoint.name)
        if flight is not None and flight.endpoint.born > endpoint.born:
            return
        if flight is None or flight.endpoint.lifetime != endpoint.lifetime:
            if flight is not None:
                self._drop(flight, "started again")
            self._flights[endpoint.name] = EndpointState(endpoint=endpoint, now=now)
            log.info(
                "fleet: {} of {} {} is up in {}, cold for {:.1f} s",
                endpoint.name,
                endpoint.service,
                endpoint.version,
                endpoint.domain,
                endpoint.cold,
            )
            return
        if endpoint.is_draining and not flight.endpoint.is_draining:
            log.info("fleet: {} is draining", endpoint.name)
        # A lifetime that drains never takes work again: an older word of a
        # peer must not bring it back.
        if flight.endpoint.is_draining and not endpoint.is_draining:
            return
        flight.endpoint = endpoint
        flight.missing_since = None
        flight.cold_until = now + endpoint.cold

    def _miss(self, name: str) -> None:
        """Drop an entry that was removed, unless it may have only lapsed."""
        flight = self._flights.get(name)
        if flight is None:
            return
        now = self._clock()
        if self._may_be_back(now):
            if flight.missing_since is None:
                log.notice("fleet: {} is missing after an outage", name)
                flight.missing_since = now
            return
        self._drop(flight, "removed")

    def _may_be_back(self, now: float) -> bool:
        if self._contact.lost_at is not None:
            return True
        return now < self._contact.returned_at + LAPSE_SECONDS

    def _drop(self, flight: EndpointState, reason: str) -> None:
        log.info("fleet: {} is gone: {}", flight.endpoint.name, reason)
        del self._flights[flight.endpoint.name]
        self._forget(flight.endpoint.lifetime)
