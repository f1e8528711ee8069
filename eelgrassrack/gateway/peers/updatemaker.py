"""Collects what a gateway tells its peers."""

import msgspec

from ..endpoints.placing import Placer
from ..requests.admission import ConnectionAdmission
from ..settings import GatewaySettings
from ..store.configuration import Router
from ..store.storesync import StoreSync
from ..versions.rollouts import Rollouts
from .load import LoadComparison
from .updatemessages import Audience, PeerUpdate


class UpdateMaker(msgspec.Struct, kw_only=True, frozen=True):
    """Makes updates for peers from the state of a gateway's parts."""

    admission: ConnectionAdmission
    load: LoadComparison
    placer: Placer
    rollouts: Rollouts
    router: Router
    store_sync: StoreSync

    def make(
        self,
        *,
        name: str,
        lifetime: str,
        port: int,
        number: int,
        audience: Audience,
        settings: GatewaySettings,
        is_ready: bool,
    ) -> PeerUpdate:
        """Return an update; `settings` are those in force."""
        trials, pins = self.rollouts.report(audience)
        return PeerUpdate(
            name=name,
            lifetime=lifetime,
            port=port,
            number=number,
            configuration=self.router.version,
            knows_store=self.store_sync.knows_store,
            revisions=self.store_sync.revisions,
            endpoints=self.placer.report_endpoints(),
            trials=trials,
            pins=pins,
            suspected=self.placer.health.report_suspected(),
            usage=self.placer.report_usage(),
            domain=settings.domain,
            is_ready=is_ready,
            link_mbps=settings.link_mbps,
            paces=self.placer.report_paces(audience),
            has_lost_store=self.store_sync.has_lost_store,
            limits=self.placer.limits.report(),
            traits=self.placer.guard.report(),
            requests=self.load.report(),
            has_room=self.admission.has_room,
            lends=True,
        )
