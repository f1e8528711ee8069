"""Copies of the tree to play with, as they are or without a mechanism."""

import shutil
import subprocess
from pathlib import Path

import msgspec

from .mechanisms import Mechanism

ROOT = Path(__file__).resolve().parents[2]

# What a day is played with; all else of a copy only has to be there.
PLAYED = ("eelgrassrack", "deploy")
JOURNAL = "journal"


class Copy(msgspec.Struct, kw_only=True, frozen=True):
    """A tree to play, by the name that tables give it."""

    name: str
    folder: Path


def copy_tree(*, name: str, source: Path, scratch: Path) -> Copy:
    """Return a copy of a tree, with its uncommitted changes."""
    folder = scratch / name
    if folder.exists():
        shutil.rmtree(folder)
    scratch.mkdir(parents=True, exist_ok=True)
    subprocess.run(["git", "clone", "--quiet", source, folder], check=True)
    for part in PLAYED:
        shutil.copytree(
            source / part,
            folder / part,
            dirs_exist_ok=True,
            ignore=shutil.ignore_patterns("__pycache__"),
        )
    return Copy(name=name, folder=folder)


def remove(mechanism: Mechanism, copy: Copy) -> None:
    """Give a mechanism its neutral answer in a copy.

    What is appended to a module stands in the place of the same name before.
    """
    path = copy.folder / mechanism.module
    path.write_text(f"{path.read_text()}\n\n{mechanism.neutral}")


def keep_journal(copies: list[Copy]) -> int:
    """Take the copies' new journal entries over; return the number of files."""
    found = [
        path
        for copy in copies
        for path in (copy.folder / JOURNAL).rglob("*")
        if path.is_file()
    ]
    fresh = {path: target for path in found if not (target := _place(path)).exists()}
    for path, target in fresh.items():
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(path, target)
    return len(fresh)


def _place(path: Path) -> Path:
    """Return where a copy's journal file belongs in this tree."""
    return ROOT.joinpath(*path.parts[path.parts.index(JOURNAL) :])
