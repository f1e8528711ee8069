"""Tests of tables, medians and the choice of the median run."""

from bench.capacity import find_medians
from bench.relay import Measured, find_median, make_row
from bench.tables import Table


def make_result(cpu: float) -> Measured:
    return Measured(cpu=cpu, rate=100, core=0.5, p50=33, p95=cpu + 30, p99=60, lost=0)


def test_a_row_shows_the_median_run_and_the_cpu_range():
    runs = [make_result(cpu) for cpu in (40.0, 20.0, 30.0)]
    assert find_median(runs).cpu == 30.0
    row = make_row("entry", 570, runs)
    assert row[3] == "30.0 (20.0 to 40.0)"
    assert row[6] == "60.0"


def test_the_median_of_each_figure_is_taken():
    found = [{"a": 1, "b": 9}, {"a": 3, "b": 8}, {"a": 2, "b": 7}]
    assert find_medians(found) == {"a": 2, "b": 8}


def test_a_table_is_written_as_markdown():
    table = Table(title="T", headings=("a", "b"), rows=[["1", "2"]])
    assert table.format_markdown() == "T\n\n| a | b |\n| --- | --- |\n| 1 | 2 |\n"
