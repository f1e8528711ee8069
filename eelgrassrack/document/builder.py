"""Incremental building of snapshots from the texts of a document's sections.

A daemon follows a document of thousands of sections, and each revision
changes one or two of them.  Parsing all sections again for each revision
would take more processor time than a node can spend on control, so a parsed
section is cached as long as its text stays in the document.

References between sections aren't checked here: the whole document was
checked before its revision was put in force.
"""

from collections.abc import Iterable

from .lines import SectionName, scan_text
from .parser import build_snapshot, read_api_key
from .reading import ParsedSection, read_sections
from .snapshot import Snapshot
from .tables.document import DOCUMENT

FILE = "document"

ParsedSections = dict[SectionName, ParsedSection]


class SnapshotBuilder:
    """Builds the snapshots of one document's successive revisions.

    Sections whose text didn't change are taken from a cache.
    """

    __slots__ = ("_cache",)

    def __init__(self) -> None:
        self._cache: dict[str, ParsedSections] = {}

    def build(self, *, texts: Iterable[str], revision: int) -> Snapshot | None:
        """Return the snapshot of a revision's section texts.

        None means that at least one section is invalid by itself;
        `parse_document` returns the faults.
        """
        cache: dict[str, ParsedSections] = {}
        for text in texts:
            parsed_sections = self._cache.get(text)
            if parsed_sections is None:
                parsed_sections = _parse_text(text)
            if parsed_sections is None:
                return None
            cache[text] = parsed_sections
        self._cache = cache
        merged = {
            name: parsed
            for parsed_sections in cache.values()
            for name, parsed in parsed_sections.items()
        }
        return build_snapshot(merged, revision)


def _parse_text(text: str) -> ParsedSections | None:
    """Parse the text of one section; return None if it has faults."""
    scan = scan_text(text, file=FILE)
    parsed_sections, faults = read_sections(scan.sections, DOCUMENT, file=FILE)
    faults += scan.faults
    for parsed in parsed_sections.values():
        if parsed.section.name.kind == "organisation":
            faults += read_api_key(parsed, {}, FILE)
        faults += parsed.faults
    return None if faults else parsed_sections
