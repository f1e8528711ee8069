"""Parser for the plans of load experiments.

A plan is an INI file like the operators' document and uses the same kind of
tables, so its faults name file, line, section, key, value and what is allowed.
"""

import pathlib
from collections.abc import Iterator, Mapping

import msgspec

from ..document.faults import Fault, Faults
from ..document.lines import RawSection, scan_text
from ..document.parser import read_secret
from ..document.reading import ParsedSection, make_fault, read_sections
from ..settings import read_text
from .tables import KEY, KEY_VARIABLE, KIND, LIMITS, PHASE, PLAN
from .workload import Limits, Phase, Plan, RequestKind

DEFAULT_PHASE = "steady"
DEFAULT_SECONDS = 10.0


def read_plan(path: str, *, environment: Mapping[str, str]) -> Plan | Faults:
    """Return the plan in a file, or all its faults."""
    text = read_text(pathlib.Path(path))
    return parse_plan(text=text, environment=environment, file=path)


def parse_plan(
    *, text: str, environment: Mapping[str, str] = {}, file: str = "plan"
) -> Plan | Faults:
    """Return the plan in a text, or all its faults.

    `environment` holds the API keys that kinds refer to by `key_env`.
    `file` is the name that faults give the text.
    """
    scan = scan_text(text, file=file)
    parsed_sections, faults = read_sections(scan.sections, PLAN, file=file)
    by_kind = {
        kind.kind: [
            section
            for name, section in parsed_sections.items()
            if name.kind == kind.kind
        ]
        for kind in PLAN
    }
    faults += scan.faults
    faults += [fault for parsed in parsed_sections.values() for fault in parsed.faults]
    for parsed in by_kind[KIND.kind]:
        faults += read_secret(
            parsed,
            environment,
            file=file,
            key=KEY,
            variable_key=KEY_VARIABLE,
            convert=str,
        )
        faults += _check_target(parsed, file)
    names = {parsed.section.name.name for parsed in by_kind[KIND.kind]}
    for parsed in by_kind[PHASE.kind]:
        faults += _check_phase(parsed, names, file)
    if not names:
        allowed = f"at least one section [{KIND.header}] is required"
        faults.append(Fault(file=file, line=1, section=KIND.kind, allowed=allowed))
    if faults:
        return Faults(faults=tuple(sorted(set(faults))))
    return _build_plan(by_kind)


def _check_target(parsed: ParsedSection, file: str) -> Iterator[Fault]:
    """Check that a kind names either a model or a service, with its keys only."""
    given = parsed.pairs.keys() & {"model", "service"}
    if len(given) != 1:
        allowed = "exactly one of model and service"
        key = "service" if given else "model"
        yield make_fault(parsed, file=file, key=key, allowed=allowed)
        return
    chat_only = ("max_tokens", "stream", "prompt_words")
    service_only = ("method", "path", "once")
    inapplicable = chat_only if "service" in given else service_only
    for key in inapplicable:
        if key in parsed.pairs:
            allowed = f"not together with {next(iter(given))}"
            yield make_fault(parsed, file=file, key=key, allowed=allowed)


def _check_phase(parsed: ParsedSection, names: set[str], file: str) -> Iterator[Fault]:
    """Check that the plan has all kinds that a phase names."""
    unknown = [name for name in parsed.values.get("kinds", ()) if name not in names]
    if unknown:
        known = ", ".join(sorted(names)) or "none"
        allowed = f"kinds of this plan, not {', '.join(unknown)}; known: {known}"
        yield make_fault(parsed, file=file, key="kinds", allowed=allowed)


def _build_plan(by_kind: Mapping[str, list[ParsedSection]]) -> Plan:
    limits = [Limits(**parsed.values) for parsed in by_kind[LIMITS.kind]]
    phases = tuple(
        Phase(name=_get_name(parsed.section), **parsed.values)
        for parsed in by_kind[PHASE.kind]
    )
    return Plan(
        kinds=tuple(
            RequestKind(name=_get_name(parsed.section), **parsed.values)
            for parsed in by_kind[KIND.kind]
        ),
        phases=phases or (Phase(name=DEFAULT_PHASE, seconds=DEFAULT_SECONDS),),
        limits=limits[0] if limits else Limits(),
    )


def _get_name(section: RawSection) -> str:
    return section.name.name


def shorten_plan(plan: Plan, *, seconds: float) -> Plan:
    """Return the plan with its phases cut off after `seconds`."""
    phases = []
    remaining = seconds
    for phase in plan.phases:
        if remaining <= 0:
            break
        phases.append(
            msgspec.structs.replace(phase, seconds=min(phase.seconds, remaining))
        )
        remaining -= phase.seconds
    return msgspec.structs.replace(plan, phases=tuple(phases))
