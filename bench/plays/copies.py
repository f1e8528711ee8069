"""Makes copies of a source tree, complete or without a mechanism."""

import shutil
import subprocess
from pathlib import Path

import msgspec

from .mechanisms import Mechanism

ROOT = Path(__file__).resolve().parents[2]

# Folders that a play uses.  The rest of a copy only has to exist.
USED_FOLDERS = ("eelgrassrack", "deploy")
JOURNAL = "journal"


class Copy(msgspec.Struct, kw_only=True, frozen=True):
    """A copy of a tree and its name in tables."""

    name: str
    folder: Path


def copy_tree(*, name: str, source: Path, scratch: Path) -> Copy:
    """Copy a tree, including uncommitted changes of the folders that a play uses.

    An older copy of the same name is replaced.
    """
    folder = scratch / name
    if folder.exists():
        shutil.rmtree(folder)
    scratch.mkdir(parents=True, exist_ok=True)
    subprocess.run(["git", "clone", "--quiet", source, folder], check=True)
    for part in USED_FOLDERS:
        shutil.copytree(
            source / part,
            folder / part,
            dirs_exist_ok=True,
            ignore=shutil.ignore_patterns("__pycache__"),
        )
    return Copy(name=name, folder=folder)


def remove(mechanism: Mechanism, copy: Copy) -> None:
    """Remove a mechanism from a copy.

    The neutral code is appended to the module, where it replaces the earlier
    definition of the same name.
    """
    path = copy.folder / mechanism.module
    path.write_text(f"{path.read_text()}\n\n{mechanism.neutral}")


def keep_journal(copies: list[Copy]) -> int:
    """Copy new journal entries into this tree; return the number of files."""
    found = [
        path
        for copy in copies
        for path in (copy.folder / JOURNAL).rglob("*")
        if path.is_file()
    ]
    fresh = {
        path: target for path in found if not (target := _find_target(path)).exists()
    }
    for path, target in fresh.items():
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(path, target)
    return len(fresh)


def _find_target(path: Path) -> Path:
    """Return the path in this tree for a journal file of a copy."""
    return ROOT.joinpath(*path.parts[path.parts.index(JOURNAL) :])
