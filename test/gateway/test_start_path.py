"""What a gateway loads before its first answer.

Pattern: all gateways lose power at once, and their callers wait for the first to start.
"""

import sys

import pytest

from bench.starts import list_loaded

# Packages that a start needs besides the standard library.
NEEDED_PACKAGES = {
    "curl",
    "eelgrassrack",
    "h11",
    "logbook",
    "msgspec",
    "pycurl",
    "tornado",
    "typing_extensions",
    "xxhash",
}

# Parts of the standard library that load slowly and that no start needs.
SLOW_MODULES = {
    "argparse",
    "cProfile",
    "http.server",
    "multiprocessing.pool",
    "smtplib",
    "sqlite3",
    "unittest",
    "urllib.request",
    "wsgiref.simple_server",
    "xml.dom",
}


@pytest.fixture(scope="module")
def loaded():
    return {module.name for module in list_loaded()}


def test_a_start_loads_no_further_package(loaded):
    """A library that is needed later delays all callers after a loss of power."""
    packages = {name.partition(".")[0] for name in loaded}
    installed = packages - set(sys.stdlib_module_names)
    assert installed - {"__main__"} - NEEDED_PACKAGES == set()


def test_a_start_loads_no_slow_part_of_the_standard_library(loaded):
    """A module that pulls in web servers or profilers delays all callers."""
    assert loaded & SLOW_MODULES == set()


def test_a_start_loads_no_table_of_the_operators_document(loaded):
    """Gateways take their configuration from the store, not from a document."""
    assert "eelgrassrack.document.tables.callers" not in loaded


def test_the_numbers_are_rendered_when_they_are_read(loaded):
    """The renderer on the path is a tenth of a start."""
    assert "eelgrassrack.gateway.metrics" in loaded
    assert "eelgrassrack.gateway.metricspage" not in loaded
