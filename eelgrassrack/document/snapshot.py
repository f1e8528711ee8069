"""An immutable view of one revision of the document."""

import msgspec

from .sections import (
    Cascade,
    Domain,
    DomainState,
    Endpoint,
    EndpointState,
    Limits,
    Model,
    Organisation,
    Policy,
    Pool,
    Service,
    Team,
    Version,
    VersionState,
)


class Snapshot(msgspec.Struct, kw_only=True, frozen=True):
    """One revision of the whole document, with its sections by name.

    Each request uses one snapshot from start to end.  `keys` and `aliases`
    are indexes built from the other fields: every request looks up its
    organisation and model, which must not take a search of all of them.
    """

    revision: int = 0
    organisations: dict[str, Organisation] = {}
    models: dict[str, Model] = {}
    versions: dict[str, Version] = {}
    cascades: dict[str, Cascade] = {}
    domains: dict[str, Domain] = {}
    pools: dict[str, Pool] = {}
    endpoints: dict[str, Endpoint] = {}
    services: dict[str, Service] = {}
    teams: dict[str, Team] = {}
    limits: Limits = Limits()
    policy: Policy = Policy()
    keys: dict[str, str] = {}
    aliases: dict[str, str] = {}

    def __post_init__(self) -> None:
        """Build the indexes."""
        keys = {
            organisation.key_digest: organisation.name
            for organisation in self.organisations.values()
        }
        aliases = {
            alias: model.name
            for model in self.models.values()
            for alias in model.aliases
        }
        msgspec.structs.force_setattr(self, "keys", keys)
        msgspec.structs.force_setattr(self, "aliases", aliases)

    def find_organisation(self, *, key_digest: str) -> Organisation | None:
        """Return the organisation whose key has this digest."""
        name = self.keys.get(key_digest)
        return None if name is None else self.organisations[name]

    def find_model(self, *, name: str) -> Model | None:
        """Return the model with this name or alias."""
        return self.models.get(self.aliases.get(name, name))

    def allows(self, *, organisation: Organisation, version: str) -> bool:
        """Return whether the organisation may use the version."""
        model = version.partition("/")[0]
        return version in organisation.allows or model in organisation.allows

    def is_active(self, *, version: str) -> bool:
        """Return whether the version may be given new work."""
        section = self.versions.get(version)
        return section is not None and section.state is VersionState.ACTIVE

    def is_domain_in(self, *, domain: str) -> bool:
        """Return whether the failure domain may be given new work.

        A domain that isn't in the document is in service.
        """
        section = self.domains.get(domain)
        return section is None or section.state is DomainState.IN

    def is_endpoint_in(self, *, endpoint: str) -> bool:
        """Return whether the endpoint may be given new work.

        An endpoint that isn't in the document is in service.
        """
        section = self.endpoints.get(endpoint)
        return section is None or section.state is EndpointState.IN
