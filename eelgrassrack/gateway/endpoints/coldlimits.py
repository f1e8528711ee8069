"""This gateway's share of the requests that a cold endpoint tolerates."""

from collections.abc import Callable

from ...decisions.precedence import Sharer, count_before
from ...decisions.sharedbudget import share_cold_rate
from ..settings import GatewaySettings
from ..store.configuration import Service
from .endpointstate import EndpointState

# How long the share is cached: computing it takes a third of a millisecond with
# hundreds of gateways.
COLD_SHARE_SECONDS = 0.25


class ColdLimits:
    """Limit the requests per second to each cold endpoint.

    `list_sharers` returns the other gateways, or None while they aren't known.
    """

    __slots__ = ("_list_sharers", "_settings")

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        list_sharers: Callable[[], tuple[Sharer, ...] | None],
    ) -> None:
        self._settings = settings
        self._list_sharers = list_sharers

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed settings."""
        self._settings = settings

    def has_capacity(self, state: EndpointState, service: Service, now: float) -> bool:
        """Return whether an endpoint isn't cold, or has room for one more request."""
        sends = state.cold_sends
        while sends and sends[0] < now - 1.0:
            sends.popleft()
        if not service.cold_rate or not state.is_cold(now):
            return True
        if now >= state.cold_share_until:
            state.cold_share = self._share(state, service)
            state.cold_share_until = now + COLD_SHARE_SECONDS
        return len(sends) < state.cold_share

    def _share(self, state: EndpointState, service: Service) -> int:
        settings = self._settings
        sharers = self._list_sharers()
        if sharers is None:
            return 0
        return share_cold_rate(
            rate=service.cold_rate,
            overage=settings.cold_overage,
            slack=settings.cold_slack,
            entries=1 + len(sharers),
            before=count_before(
                own=Sharer(settings.name, settings.domain),
                others=sharers,
                key=str(state.key),
                domain=state.endpoint.domain,
            ),
        )
