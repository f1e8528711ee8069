"""`eelgrassrack check`: report all faults of a document."""

import pathlib
from dataclasses import dataclass
from typing import Annotated

import cappa

from ...document.faults import Faults
from ...document.parser import parse_document
from ...settings import read_text
from ..errors import OK, REFUSED
from ..options import AsJson
from ..output import print_json
from ..tools import Tools, make_tools


@cappa.command(name="check", help="Report all faults of a document, one on each line.")
@dataclass(kw_only=True, slots=True)
class Check:
    """Arguments of `check`."""

    file: Annotated[str, cappa.Arg(help="The document.")]
    as_json: AsJson = False

    def __call__(self, tools: Annotated[Tools, cappa.Dep(make_tools)]) -> int:
        """Check the file."""
        result = parse_document(
            text=read_text(pathlib.Path(self.file)),
            environment=tools.environment,
            file=self.file,
        )
        faults = result.faults if isinstance(result, Faults) else ()
        if self.as_json:
            print_json(Faults(faults=faults))
        elif faults:
            print(result)
        else:
            print(f"{self.file}: no faults")
        return REFUSED if faults else OK
