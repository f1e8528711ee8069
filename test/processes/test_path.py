"""The whole path and its failures with separate processes."""

import signal
import threading
import time

import pytest

from eelgrassrack.standins.answers import expected_text

from .fleet import DOCUMENT, Fleet

FROZEN_SECONDS = 3.5
NARROW = DOCUMENT.replace("concurrency = 8", "concurrency = 1\ncold_concurrency = 1")

pytestmark = pytest.mark.processes


@pytest.fixture
def fleet(tmp_path):
    fleet = Fleet(tmp_path)
    try:
        status, output = fleet.apply(DOCUMENT)
        assert status == 0, output
        yield fleet
    finally:
        fleet.close()


def start_tutors(fleet, count=2):
    for number in range(count):
        engine = fleet.start(
            "eelgrassrack.standins",
            "engine",
            "--versions",
            "tutor/1,tutor/2",
            "--speed",
            "200",
            lines=1,
        )
        fleet.start_agent(f"tutor-{number}", "tutors", engine.urls["engine"])


def start_narrow_tutor(fleet):
    """Start an engine that runs one request at a time, some seconds each."""
    status, output = fleet.apply(NARROW)
    assert status == 0, output
    engine = fleet.start(
        "eelgrassrack.standins",
        "engine",
        "--versions",
        "tutor/1,tutor/2",
        "--speed",
        "4",
        lines=1,
    )
    fleet.start_agent("tutor-0", "tutors", engine.urls["engine"])
    return engine


def start_registry(fleet, delay=0.0):
    service = fleet.start(
        "eelgrassrack.standins", "service", "--delay", str(delay), lines=1
    )
    fleet.start_agent("registry-0", "registry", service.urls["service"])
    return service


def count_runs(service):
    """Stop a service and return how often it ran each key."""
    service.send(signal.SIGTERM)
    status, output = service.wait()
    assert status == 0
    rows = (line.split() for line in output.splitlines())
    return {row[1]: int(row[2]) for row in rows}


def test_requests_go_the_whole_path(fleet):
    start_tutors(fleet)
    service = start_registry(fleet)
    fleet.start_entry("entry-0")
    fleet.wait_ready()
    for number in range(6):
        prompt = f"question {number}"
        answer = fleet.chat("entry-0", prompt, stream=number % 2 == 0)
        assert answer.is_whole, answer
        assert answer.text == expected_text(prompt, answer.version, 12)
    status, headers, _ = fleet.issue("entry-0", "first")
    assert (status, headers["Eelgrassrack-Run"]) == (200, "ran")
    assert count_runs(service) == {"first": 1}


def test_a_withdrawn_version_gets_no_new_work(fleet):
    """An operator withdraws a version while callers ask for its model.

    Once the command says that it is in force everywhere, no caller gets
    an answer of that version.
    """
    start_tutors(fleet)
    fleet.start_entry("entry-0")
    fleet.wait_ready()
    text = DOCUMENT.replace(
        "[version tutor/2]\n", "[version tutor/2]\nstate=withdrawn\n"
    )
    entry = ("--wait", "10", "--entry", fleet.entry_urls["entry-0"])
    status, output = fleet.apply(text, *entry)
    assert status == 0, output
    versions = {fleet.chat("entry-0", f"q{n}").version for n in range(12)}
    assert versions == {"tutor/1"}


def test_a_killed_entry_loses_no_credential_and_doubles_none(fleet):
    """An entry is killed while a credential is being issued.

    Its caller sees the connection break and sends the request again with
    the same key through another entry. The credential is issued once, and
    the caller gets its answer.
    """
    service = start_registry(fleet, delay=1.5)
    fleet.start_entry("entry-0")
    fleet.start_entry("entry-1")
    fleet.wait_ready()

    def send_first():
        with pytest.raises(OSError):
            fleet.issue("entry-0", "once")

    first = threading.Thread(target=send_first)
    first.start()
    time.sleep(0.7)
    fleet.entries["entry-0"].send(signal.SIGKILL)
    first.join()
    fleet.remove("entry-0")
    status, headers, body = fleet.issue("entry-1", "once")
    assert (status, headers["Eelgrassrack-Run"]) == (200, "ran"), body
    again, _, second = fleet.issue("entry-1", "once")
    assert (again, second) == (200, body)
    assert count_runs(service) == {"once": 1}


def test_a_paused_entry_wakes_to_the_document_in_force(fleet):
    """An entry is frozen while a version is withdrawn, then wakes.

    The requests it takes from then on don't reach the withdrawn version.
    """
    start_tutors(fleet)
    fleet.start_entry("entry-0")
    fleet.start_entry("entry-1")
    fleet.wait_ready()
    fleet.entries["entry-0"].send(signal.SIGSTOP)
    text = DOCUMENT.replace(
        "[version tutor/2]\n", "[version tutor/2]\nstate=withdrawn\n"
    )
    status, output = fleet.apply(text)
    assert status == 0, output
    time.sleep(3)
    fleet.entries["entry-0"].send(signal.SIGCONT)
    answers = [fleet.chat("entry-0", f"q{n}") for n in range(12)]
    assert {answer.version for answer in answers} == {"tutor/1"}


def test_a_planned_stop_cuts_no_request(fleet):
    """An entry and an agent get SIGTERM while answers are being streamed.

    The caller gets its whole answer, and both end with status 0.
    """
    start_tutors(fleet, count=1)
    fleet.start_entry("entry-0")
    fleet.wait_ready()
    answers = []

    def ask():
        answers.append(fleet.chat("entry-0", "long question"))

    callers = [threading.Thread(target=ask) for _ in range(4)]
    for caller in callers:
        caller.start()
    time.sleep(0.03)
    fleet.entries["entry-0"].send(signal.SIGTERM)
    for caller in callers:
        caller.join()
    assert fleet.entries["entry-0"].wait()[0] == 0
    fleet.agents["tutor-0"].send(signal.SIGTERM)
    assert fleet.agents["tutor-0"].wait()[0] == 0
    # A caller that was cut has no answer at all here.
    assert len(answers) == len(callers)
    assert all(answer.is_whole for answer in answers), answers


def test_a_paused_agent_wakes_and_starts_nothing_that_was_withdrawn(fleet):
    """An agent is frozen with requests in its queue, then wakes.

    While it stands still their version is withdrawn.  What runs may end; the
    engine is given nothing more of that version, and whoever is refused is
    told that it wasn't run.
    """
    engine = start_narrow_tutor(fleet)
    fleet.start_entry("entry-0")
    fleet.wait_ready(revision=2)
    answers = []

    def ask(number):
        headers = {"Eelgrassrack-Deadline": "25"}
        answer = fleet.chat(
            "entry-0", f"q{number}", model="tutor/2", stream=False, headers=headers
        )
        answers.append(answer)

    callers = [threading.Thread(target=ask, args=(n,)) for n in range(4)]
    for caller in callers:
        caller.start()
    fleet.wait_queued("entry-0", "tutor-0")
    fleet.agents["tutor-0"].send(signal.SIGSTOP)
    frozen_at = time.monotonic()
    status, output = fleet.apply(
        NARROW.replace("[version tutor/2]\n", "[version tutor/2]\nstate=withdrawn\n")
    )
    assert status == 0, output
    withdrawn_at = time.monotonic()
    # The command takes seconds on a busy machine: an agent that is silent for
    # longer than the entry bears would have its requests called unknown.
    time.sleep(max(frozen_at + FROZEN_SECONDS - time.monotonic(), 0.0))
    fleet.agents["tutor-0"].send(signal.SIGCONT)
    for caller in callers:
        caller.join()
    engine.send(signal.SIGTERM)
    status, output = engine.wait()
    assert status == 0
    rows = [line.split() for line in output.splitlines()]
    starts = [float(row[2]) for row in rows if row[1] == "tutor/2"]
    late = [at for at in starts if at > withdrawn_at]
    assert starts and not late
    refused = [answer for answer in answers if answer.run == "not-run"]
    assert refused
    assert len(refused) + len(starts) <= len(answers), (starts, answers)


def test_a_killed_agent_leaves_no_credential_doubled(fleet):
    """An agent is killed while a credential is being issued beside it.

    Nobody can say any more what came of it.  The caller and whoever sends
    again with the same key are told just that; it is never issued twice.
    """
    service = start_registry(fleet, delay=1.0)
    fleet.start_entry("entry-0")
    fleet.wait_ready()
    told = []

    def send_first():
        told.append(fleet.issue("entry-0", "once"))

    first = threading.Thread(target=send_first)
    first.start()
    time.sleep(0.5)
    fleet.agents["registry-0"].send(signal.SIGKILL)
    fleet.start_agent("registry-0", "registry", service.urls["service"])
    first.join()
    told.append(fleet.issue("entry-0", "once"))
    for status, headers, body in told:
        assert (status, headers["Eelgrassrack-Run"]) == (504, "unknown"), body
    assert count_runs(service).get("once", 0) <= 1
