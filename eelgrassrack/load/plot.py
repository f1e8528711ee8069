"""Plot of a run; needs matplotlib, an optional dependency."""

import importlib.util
import pathlib

from ..errors import UserError
from .report import Report

FIELDS = ("in_time", "late", "refused", "broken", "unknown", "not_sent")
COLOURS = ("tab:green", "tab:olive", "tab:orange", "tab:red", "tab:purple", "tab:gray")
SIZE = (10, 8)


def check_plot(path: str) -> None:
    """Raise a `UserError` if no plot can be drawn.

    Called before the run, so that its results aren't lost.
    """
    if importlib.util.find_spec("matplotlib") is None:
        raise UserError("--plot needs matplotlib: install eelgrassrack[plots]")
    if not pathlib.Path(path).resolve().parent.is_dir():
        raise UserError(f"{path}: no such directory")


def draw_report(report: Report, path: str) -> None:
    """Plot requests by second of arrival, and answer times by kind, to a file."""
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot

    figure, (above, below) = pyplot.subplots(2, 1, figsize=SIZE)
    above.stackplot(
        [second.at for second in report.seconds],
        [[getattr(second, field) for second in report.seconds] for field in FIELDS],
        labels=[field.replace("_", " ") for field in FIELDS],
        colors=COLOURS,
        step="post",
    )
    above.set(xlabel="second of arrival", ylabel="requests")
    above.legend(loc="upper right")
    rows = [row for row in report.rows if row.whole.count]
    positions = range(len(rows))
    for name, height in (("p99", 0.8), ("p95", 0.6), ("p50", 0.4)):
        values = [getattr(row.whole, name) for row in rows]
        below.barh(positions, values, height=height, label=name, alpha=0.6)
    below.set_yticks(positions, [f"{row.organisation}: {row.kind}" for row in rows])
    below.set(xlabel="whole answer, ms from arrival")
    below.legend(loc="lower right")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
