"""What gateways tell each other: the messages, without how they travel.

A peer of an earlier version lacks the later fields, one of a later version has more:
fields are added at the end, with defaults, and none changes its meaning.
"""

import enum
import math
from typing import Annotated

import msgspec

from ...addresses import MAX_PORT
from ...decisions.crashrecords import TraitReport
from ...decisions.fairshare import UsageReport
from ...decisions.pace import PaceReport
from ...decisions.urgency import LEAST_URGENT
from ...decisions.versionevidence import Tally
from ...decoding import decode_msgpack
from ...errors import FormatError


class BacklogReport(msgspec.Struct, frozen=True, array_like=True):
    """How long an endpoint still needs to read its prompts of one urgency."""

    urgency: Annotated[int, msgspec.Meta(ge=0, le=LEAST_URGENT)]
    milliseconds: int


class EndpointReport(msgspec.Struct, frozen=True, array_like=True):
    """A gateway's in-flight requests at one lifetime of an endpoint.

    `lifetime` is a short hash, since names would be most bytes of an update.
    `answers` and `slowness` are the fields of a `Timing`, in hundredths.
    """

    lifetime: int
    running: int
    backlog: tuple[BacklogReport, ...] = ()
    answers: int = 0
    slowness: int = 0


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """A limit that an endpoint named in an answer to this gateway.

    `lifetime` is a short hash, `rate` in requests per second, 0 if an answer named none
    any more, `age` the seconds since that answer.
    """

    lifetime: int
    rate: float
    age: float


class Gift(msgspec.Struct, frozen=True, array_like=True):
    """How many requests to a version on trial one gateway leaves to a peer.

    `receiver` is the peer's name and lifetime: a restarted one mustn't use it again.
    """

    receiver: str
    requests: float


class TrialReport(msgspec.Struct, frozen=True, array_like=True):
    """The progress of a roll-out as one gateway sees it.

    `elapsed` is in seconds.  `is_witnessed` says that the gateway, or a peer that
    told it so, saw the roll-out begin, so that `elapsed` doesn't depend on clocks.
    `sent` and `sent_new` count the requests that the gateway sent to the service and,
    of them, to the new version.  `share` is the share of sessions that uses it, and
    `moved_for` the seconds since all requests moved to it, less than 0 if they didn't.
    `mean_rate` and `latest_rate` are the gateway's requests per second, `left` is how
    many more of them the new version may get, and `gifts` what it gave of that in all
    to each peer that got something lately.  `is_doubting` says that its latest answers
    speak against the version, `last_reports` counts those made as the end of its trial
    is near.  `unseen` is for how many seconds the order may have been in the store
    before the gateways saw it, less than 0 if that isn't known.  An earlier version of
    the gateway sends none of these.
    """

    service: str
    version: str
    created: int
    elapsed: float
    is_bad: bool
    tallies: tuple[Tally, ...]
    is_witnessed: bool = False
    sent: int = 0
    sent_new: int = 0
    share: float = 0.0
    moved_for: float = -1.0
    mean_rate: float = 0.0
    latest_rate: float = 0.0
    left: float = 0.0
    gifts: tuple[Gift, ...] = ()
    is_doubting: bool = False
    last_reports: int = 0
    unseen: float = -1.0


class SessionPin(msgspec.Struct, frozen=True, array_like=True):
    """Whether a session, given by its hash, uses the new version."""

    session: int
    is_new: bool


class PeerUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The state that one gateway sends to its peers.

    `number` counts the updates of one `lifetime` of the gateway.  `revisions` holds
    the store's revision at the last change of each kind, in the order in which all
    gateways follow the kinds.  `suspected` are the hashed lifetimes of endpoints
    that lost an answer lately, and `usage` is how much engine time the prompts of
    each organisation took.  `is_ready` says whether the balancer may send callers to
    the gateway; a gateway that doesn't send the field is ready.  `link_mbps` is its
    link in Mbit/s, 0 if unknown.  `paces` is what it has seen of the models' paces, for
    peers of its own domain only.  `has_lost_store` says that the store doesn't
    answer it, or that a watch is overdue.  `limits` are those that endpoints named to
    it, `traits` what it knows of queries of death.  `crashes` is empty: gateways of an
    earlier version fill it.  `requests` is how many it reads a second, less than 0 if
    it doesn't say so.  `has_room` says whether it could take more connections,
    `lends` whether it answers requests for room within endpoints' limits.
    """

    name: str
    lifetime: str
    port: Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
    number: int
    configuration: int
    knows_store: bool
    revisions: tuple[int, ...] = ()
    endpoints: tuple[EndpointReport, ...] = ()
    trials: tuple[TrialReport, ...] = ()
    pins: tuple[SessionPin, ...] = ()
    crashes: tuple[object, ...] = ()
    suspected: tuple[int, ...] = ()
    usage: UsageReport = UsageReport()
    domain: str = ""
    is_ready: bool = True
    link_mbps: float = 0.0
    paces: tuple[PaceReport, ...] = ()
    has_lost_store: bool = False
    limits: tuple[LimitReport, ...] = ()
    traits: tuple[TraitReport, ...] = ()
    requests: float = -1.0
    has_room: bool = True
    lends: bool = False

    @property
    def urgent_state(self) -> tuple[object, ...]:
        """Return the state whose changes all peers need to know soon."""
        trials = tuple(
            (trial.version, trial.is_bad, trial.is_doubting, trial.last_reports)
            for trial in self.trials
        )
        known = (self.configuration, self.knows_store, self.revisions)
        flags = (self.is_ready, self.has_lost_store)
        limits = tuple((report.lifetime, report.rate) for report in self.limits)
        crashes = tuple(
            (report.trait, {crash.lifetime for crash in report.crashes})
            for report in self.traits
        )
        return (known, trials, crashes, self.suspected, flags, limits)


def decode_update(data: bytes) -> PeerUpdate:
    """Decode a peer's update; raise `FormatError`, also for what is no number."""
    update = decode_msgpack(data, kind=PeerUpdate)
    if any(map(_has_no_number, update.trials)):
        raise FormatError("a report of a trial with what is no number")
    return update


def _has_no_number(trial: TrialReport) -> bool:
    values = msgspec.structs.astuple(trial)
    return any(isinstance(value, float) and math.isnan(value) for value in values)


class Audience(enum.Enum):
    """The peers that an update is made for."""

    NEAR = "peers of the same failure domain"
    FAR = "peers of other failure domains"
