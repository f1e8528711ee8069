"""Checks of references and constraints between the sections of a document.

Each section may be valid by itself and still contradict another one.
"""

from collections.abc import Iterable, Iterator

from .faults import Fault
from .lines import SectionName
from .reading import ParsedSection, make_fault
from .sections import Limits, Pool, VersionState


class Sections:
    """The sections of a document; `file` is the name that faults give it."""

    __slots__ = ("file", "parsed_sections")

    def __init__(
        self, *, parsed_sections: dict[SectionName, ParsedSection], file: str
    ) -> None:
        self.parsed_sections = parsed_sections
        self.file = file

    def list_names(self, kind: str) -> set[str]:
        """Return the names of all sections of a kind."""
        return {name.name for name in self.parsed_sections if name.kind == kind}

    def list_sections(self, kind: str) -> Iterator[tuple[str, ParsedSection]]:
        """Return names and sections of a kind in the order of the document."""
        return (
            (name.name, parsed)
            for name, parsed in self.parsed_sections.items()
            if name.kind == kind
        )

    def build_fault(self, parsed: ParsedSection, key: str, allowed: str) -> Fault:
        """Return a fault of one key of a section."""
        return make_fault(parsed, file=self.file, key=key, allowed=allowed)

    def check_known(
        self, kind: str, key: str, known: Iterable[str], noun: str
    ) -> Iterator[Fault]:
        """Yield a fault for each section whose `key` lists names not in `known`."""
        known = set(known)
        for _, parsed in self.list_sections(kind):
            unknown = sorted(set(parsed.values.get(key, ())) - known)
            if unknown:
                listed = ", ".join(sorted(known)) or "none"
                allowed = f"no {noun} {', '.join(unknown)}; known: {listed}"
                yield self.build_fault(parsed, key, allowed)


def check_references(
    parsed_sections: dict[SectionName, ParsedSection], *, file: str
) -> Iterator[Fault]:
    """Yield the faults between sections and between keys of one section."""
    sections = Sections(parsed_sections=parsed_sections, file=file)
    models = sections.list_names("model")
    versions = sections.list_names("version")
    yield from sections.check_known(
        "organisation", "allows", models | versions, "model or version"
    )
    yield from sections.check_known(
        "organisation", "services", sections.list_names("service"), "service"
    )
    yield from sections.check_known("cascade", "rungs", models, "model")
    yield from sections.check_known("pool", "serves", versions, "version")
    yield from _check_api_keys(sections)
    yield from _check_versions(sections, models)
    yield from _check_weights(sections)
    yield from _check_model_names(sections)
    yield from _check_pools(sections)
    yield from _check_concurrency(sections)
    yield from _check_deadlines(sections)


def _check_api_keys(sections: Sections) -> Iterator[Fault]:
    """Reject an API key that two organisations share.

    Callers are identified by their key alone.
    """
    holders: dict[object, str] = {}
    for name, parsed in sections.list_sections("organisation"):
        digest = parsed.values.get("key_digest")
        if digest is None:
            continue
        holder = holders.setdefault(digest, name)
        if holder != name:
            key = "key_env" if "key_env" in parsed.pairs else "key_digest"
            yield sections.build_fault(parsed, key, f"{holder} has this key already")


def _check_versions(sections: Sections, models: set[str]) -> Iterator[Fault]:
    """Check that the model of each version exists."""
    for name, parsed in sections.list_sections("version"):
        model = name.partition("/")[0]
        if model not in models:
            listed = ", ".join(sorted(models)) or "none"
            yield sections.build_fault(
                parsed, "name", f"no model {model}; known: {listed}"
            )


def _check_weights(sections: Sections) -> Iterator[Fault]:
    """Reject a model whose active versions all have weight 0.

    No version could receive its work.
    """
    shares: dict[str, float] = {}
    first_versions: dict[str, ParsedSection] = {}
    for name, parsed in sections.list_sections("version"):
        values = parsed.values
        if values.get("state", VersionState.ACTIVE) is not VersionState.ACTIVE:
            continue
        model = name.partition("/")[0]
        first_versions.setdefault(model, parsed)
        share = values.get("weight", 100.0)
        shares[model] = shares.get(model, 0.0) + share
    for model, share in shares.items():
        if share <= 0:
            allowed = f"above 0 for at least one active version of {model}"
            yield sections.build_fault(first_versions[model], "weight", allowed)


def _check_model_names(sections: Sections) -> Iterator[Fault]:
    """Check that no model, cascade and alias share a name.

    A request selects any of them by the same name.
    """
    holders = {name: f"model {name}" for name, _ in sections.list_sections("model")}
    for name, parsed in sections.list_sections("cascade"):
        holder = holders.setdefault(name, f"cascade {name}")
        if holder != f"cascade {name}":
            yield sections.build_fault(
                parsed, "name", f"{holder} has this name already"
            )
    for name, parsed in sections.list_sections("model"):
        for alias in parsed.values.get("aliases", ()):
            holder = holders.setdefault(alias, f"an alias of {name}")
            if holder != f"an alias of {name}":
                allowed = f"{holder} has the name {alias} already"
                yield sections.build_fault(parsed, "aliases", allowed)


def _check_pools(sections: Sections) -> Iterator[Fault]:
    """Check that each pool has versions or one existing service, not both."""
    services = sections.list_names("service")
    for _, parsed in sections.list_sections("pool"):
        present_keys = [
            key
            for key in ("serves", "service")
            if key in parsed.pairs and parsed.pairs[key].value
        ]
        if len(present_keys) != 1:
            key = "service" if "service" in parsed.pairs else "serves"
            yield sections.build_fault(parsed, key, "exactly one of serves and service")
        service = parsed.values.get("service")
        if service and service not in services:
            listed = ", ".join(sorted(services)) or "none"
            allowed = f"no service {service}; known: {listed}"
            yield sections.build_fault(parsed, "service", allowed)


def _check_concurrency(sections: Sections) -> Iterator[Fault]:
    """Check that cold endpoints get no larger window than warm ones."""
    for name, parsed in sections.list_sections("pool"):
        values = parsed.values
        defaults = Pool(name=name)
        warm = values.get("concurrency", defaults.concurrency)
        cold = values.get("cold_concurrency", defaults.cold_concurrency)
        if cold > warm:
            key = "cold_concurrency"
            key = key if key in parsed.pairs else "concurrency"
            allowed = f"cold_concurrency ({cold}) at most concurrency ({warm})"
            yield sections.build_fault(parsed, key, allowed)


def _check_deadlines(sections: Sections) -> Iterator[Fault]:
    """Check that the default deadline is within the longest one."""
    defaults = Limits()
    for _, parsed in sections.list_sections("limits"):
        values = parsed.values
        default = values.get("default_deadline", defaults.default_deadline)
        longest = values.get("longest_deadline", defaults.longest_deadline)
        if default > longest:
            key = "default_deadline"
            key = key if key in parsed.pairs else "longest_deadline"
            allowed = f"default_deadline ({default:g}) at most longest ({longest:g})"
            yield sections.build_fault(parsed, key, allowed)
