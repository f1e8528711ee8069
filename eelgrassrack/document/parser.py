"""The reading of a document's text into a snapshot, or all its faults."""

import fnmatch
import hashlib
from collections.abc import Callable, Iterable, Iterator, Mapping

import msgspec

from .crosschecks import check_references
from .faults import Fault, Faults
from .lines import SectionName, scan_text
from .reading import Reading, make_fault, read_sections
from .schema import SectionKind
from .sections import Limits, Policy
from .snapshot import Snapshot
from .tables import DOCUMENT
from .tables.callers import KEY_DIGEST, KEY_VARIABLE

KINDS = {kind.kind: kind for kind in DOCUMENT}


def parse_document(
    *,
    text: str,
    revision: int = 0,
    environment: Mapping[str, str] = {},
    file: str = "document",
) -> Snapshot | Faults:
    """Return the document's snapshot, or every fault that it has.

    `environment` holds the keys that organisations refer to by
    `key_env`.  `file` is the name that faults give the text.
    """
    scan = scan_text(text, file=file)
    readings, faults = read_sections(scan.sections, DOCUMENT, file=file)
    faults += scan.faults
    for reading in readings.values():
        if reading.section.name.kind == "organisation":
            faults += read_api_key(reading, environment, file)
        faults += reading.faults
    faults += check_references(readings, file=file)
    if faults:
        return Faults(faults=tuple(sorted(set(faults))))
    return build_snapshot(readings, revision)


def check_sections(*, text: str, file: str, patterns: Iterable[str]) -> Faults | None:
    """Return the faults that a text's selected sections have in themselves.

    Whether they fit the other sections isn't checked, since a team's
    file may hold no others.
    """
    scan = scan_text(text, file=file)
    readings, faults = read_sections(scan.sections, DOCUMENT, file=file)
    faults += scan.faults
    faults += [fault for reading in readings.values() for fault in reading.faults]
    patterns = tuple(patterns)
    selected = [
        fault
        for fault in faults
        if not fault.section
        or any(fnmatch.fnmatchcase(fault.section, pattern) for pattern in patterns)
    ]
    return Faults(faults=tuple(sorted(selected))) if selected else None


def digest_api_key(api_key: str) -> str:
    """Return the hexadecimal SHA-256 by which an API key is known."""
    return hashlib.sha256(api_key.encode()).hexdigest()


def read_api_key(
    reading: Reading, environment: Mapping[str, str], file: str
) -> Iterator[Fault]:
    """Put the key's digest in its place, whichever way it was given."""
    return read_secret(
        reading,
        environment,
        file=file,
        key=KEY_DIGEST,
        variable_key=KEY_VARIABLE,
        convert=digest_api_key,
    )


def read_secret(
    reading: Reading,
    environment: Mapping[str, str],
    *,
    file: str,
    key: str,
    variable_key: str,
    convert: Callable[[str], str],
) -> Iterator[Fault]:
    """Put a secret in its place, given by itself or by a variable's name.

    `convert` turns the variable's value into what stands under `key`.
    """
    given = reading.entries.keys() & {key, variable_key}
    variable = reading.values.pop(variable_key, None)
    if len(given) != 1:
        allowed = f"exactly one of {key} and {variable_key}"
        at = variable_key if given else key
        yield make_fault(reading, file=file, key=at, allowed=allowed)
        return
    if variable is None:
        return
    secret = environment.get(str(variable))
    if secret:
        reading.values[key] = convert(secret)
        return
    allowed = f"a set environment variable; {variable} is not set"
    yield make_fault(reading, file=file, key=variable_key, allowed=allowed)


def build_snapshot(readings: dict[SectionName, Reading], revision: int) -> Snapshot:
    """Return the snapshot of sections without faults."""
    versions = _build_all(readings, KINDS["version"])
    by_model: dict[str, list[str]] = {}
    for version in versions.values():
        by_model.setdefault(version.model, []).append(version.name)
    models = {
        model.name: msgspec.structs.replace(
            model, versions=tuple(by_model.get(model.name, ()))
        )
        for model in _build_all(readings, KINDS["model"], versions=()).values()
    }
    limits = _build_all(readings, KINDS["limits"])
    policy = _build_all(readings, KINDS["policy"])
    return Snapshot(
        revision=revision,
        organisations=_build_all(readings, KINDS["organisation"]),
        models=models,
        versions=versions,
        cascades=_build_all(readings, KINDS["cascade"]),
        domains=_build_all(readings, KINDS["domain"]),
        pools=_build_all(readings, KINDS["pool"]),
        endpoints=_build_all(readings, KINDS["endpoint"]),
        services=_build_all(readings, KINDS["service"]),
        teams=_build_all(readings, KINDS["team"]),
        limits=limits.get("", Limits()),
        policy=policy.get("", Policy()),
    )


def _build_all(
    readings: dict[SectionName, Reading], kind: SectionKind, **more: object
) -> dict[str, msgspec.Struct]:
    """Return the sections of a kind as its class, by name."""
    return {
        name.name: kind.struct(
            **({"name": name.name} if name.name else {}), **reading.values, **more
        )
        for name, reading in readings.items()
        if name.kind == kind.kind
    }
