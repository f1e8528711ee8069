"""Parser that turns a document's text into a snapshot or a list of faults."""

import fnmatch
import hashlib
from collections.abc import Callable, Iterable, Iterator, Mapping

import msgspec

from .crosschecks import check_references
from .faults import Fault, Faults
from .lines import SectionName, scan_text
from .reading import ParsedSection, make_fault, read_sections
from .schema import SectionKind
from .sections import Limits, Policy
from .snapshot import Snapshot
from .tables.callers import KEY_DIGEST, KEY_VARIABLE
from .tables.document import DOCUMENT

KINDS = {kind.kind: kind for kind in DOCUMENT}


def parse_document(
    *,
    text: str,
    revision: int = 0,
    environment: Mapping[str, str] = {},
    file: str = "document",
) -> Snapshot | Faults:
    """Return the document's snapshot, or all its faults.

    `environment` holds the API keys that organisations refer to by
    `key_env`.  `file` is the name that faults give the text.
    """
    scan = scan_text(text, file=file)
    parsed_sections, faults = read_sections(scan.sections, DOCUMENT, file=file)
    faults += scan.faults
    for parsed in parsed_sections.values():
        if parsed.section.name.kind == "organisation":
            faults += read_api_key(parsed, environment, file)
        faults += parsed.faults
    faults += check_references(parsed_sections, file=file)
    if faults:
        return Faults(faults=tuple(sorted(set(faults))))
    return build_snapshot(parsed_sections, revision)


def check_sections(*, text: str, file: str, patterns: Iterable[str]) -> Faults | None:
    """Return the faults of a text's selected sections, or None.

    Faults before the first section are included.  References to other
    sections aren't checked, since a team's file may hold only its own
    sections.
    """
    scan = scan_text(text, file=file)
    parsed_sections, faults = read_sections(scan.sections, DOCUMENT, file=file)
    faults += scan.faults
    faults += [fault for parsed in parsed_sections.values() for fault in parsed.faults]
    patterns = tuple(patterns)
    selected = [
        fault
        for fault in faults
        if not fault.section
        or any(fnmatch.fnmatchcase(fault.section, pattern) for pattern in patterns)
    ]
    return Faults(faults=tuple(sorted(selected))) if selected else None


def digest_api_key(api_key: str) -> str:
    """Return the hexadecimal SHA-256 that identifies an API key."""
    return hashlib.sha256(api_key.encode()).hexdigest()


def read_api_key(
    parsed: ParsedSection, environment: Mapping[str, str], file: str
) -> Iterator[Fault]:
    """Set the section's key digest from `key_digest` or `key_env`.

    Yields a fault if not exactly one of them is given.
    """
    return read_secret(
        parsed,
        environment,
        file=file,
        key=KEY_DIGEST,
        variable_key=KEY_VARIABLE,
        convert=digest_api_key,
    )


def read_secret(
    parsed: ParsedSection,
    environment: Mapping[str, str],
    *,
    file: str,
    key: str,
    variable_key: str,
    convert: Callable[[str], str],
) -> Iterator[Fault]:
    """Set the value of `key` from itself or from an environment variable.

    `variable_key` names the variable, and `convert` turns the variable's
    value into that of `key`.  Yields a fault if not exactly one of the two
    keys is given or the variable isn't set.
    """
    given = parsed.pairs.keys() & {key, variable_key}
    variable = parsed.values.pop(variable_key, None)
    if len(given) != 1:
        allowed = f"exactly one of {key} and {variable_key}"
        faulty_key = variable_key if given else key
        yield make_fault(parsed, file=file, key=faulty_key, allowed=allowed)
        return
    if variable is None:
        return
    secret = environment.get(str(variable))
    if secret:
        parsed.values[key] = convert(secret)
        return
    allowed = f"a set environment variable; {variable} is not set"
    yield make_fault(parsed, file=file, key=variable_key, allowed=allowed)


def build_snapshot(
    parsed_sections: dict[SectionName, ParsedSection], revision: int
) -> Snapshot:
    """Return the snapshot of valid sections."""
    versions = _build_sections(parsed_sections, KINDS["version"])
    by_model: dict[str, list[str]] = {}
    for version in versions.values():
        by_model.setdefault(version.model, []).append(version.name)
    models = {
        model.name: msgspec.structs.replace(
            model, versions=tuple(by_model.get(model.name, ()))
        )
        for model in _build_sections(
            parsed_sections, KINDS["model"], versions=()
        ).values()
    }
    limits = _build_sections(parsed_sections, KINDS["limits"])
    policy = _build_sections(parsed_sections, KINDS["policy"])
    return Snapshot(
        revision=revision,
        organisations=_build_sections(parsed_sections, KINDS["organisation"]),
        models=models,
        versions=versions,
        cascades=_build_sections(parsed_sections, KINDS["cascade"]),
        domains=_build_sections(parsed_sections, KINDS["domain"]),
        pools=_build_sections(parsed_sections, KINDS["pool"]),
        endpoints=_build_sections(parsed_sections, KINDS["endpoint"]),
        services=_build_sections(parsed_sections, KINDS["service"]),
        teams=_build_sections(parsed_sections, KINDS["team"]),
        limits=limits.get("", Limits()),
        policy=policy.get("", Policy()),
    )


def _build_sections(
    parsed_sections: dict[SectionName, ParsedSection],
    kind: SectionKind,
    **extra: object,
) -> dict[str, msgspec.Struct]:
    """Return instances of a kind's class by section name.

    `extra` fields are set on all of them.
    """
    return {
        name.name: kind.struct(
            **({"name": name.name} if name.name else {}), **parsed.values, **extra
        )
        for name, parsed in parsed_sections.items()
        if name.kind == kind.kind
    }
