"""Requests through real entries and agents, and failures on their path."""

import signal
import threading
import time

import pytest

from eelgrassrack.standins.answers import expected_text

from .fleet import DOCUMENT, Fleet

PAUSE_SECONDS = 3.5
ONE_AT_A_TIME = DOCUMENT.replace(
    "concurrency = 8", "concurrency = 1\ncold_concurrency = 1"
)

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


def start_serial_tutor(fleet):
    """Start an engine that runs one request at a time, for some seconds each."""
    status, output = fleet.apply(ONE_AT_A_TIME)
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
    """Stop a service; return how often it ran each idempotency key."""
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

    Once the command reports that the change is in force everywhere, that
    version answers no caller.
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

    The caller's connection breaks, and it retries with the same idempotency
    key through another entry.  The credential is issued once, and the caller
    gets its answer.
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


def test_a_paused_entry_resumes_with_the_document_in_force(fleet):
    """An entry is paused (SIGSTOP) while a version is withdrawn, then resumes.

    None of the requests that it accepts afterwards reaches that version.
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
    """An entry, then an agent, get SIGTERM while answers are being streamed.

    Every caller gets its whole answer, and both processes exit with status 0.
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
    # A caller whose connection was cut has added no answer to the list.
    assert len(answers) == len(callers)
    assert all(answer.is_whole for answer in answers), answers


def test_a_paused_agent_resumes_and_starts_nothing_that_was_withdrawn(fleet):
    """An agent is paused (SIGSTOP) with requests in its queue, then resumes.

    Meanwhile the version of these requests is withdrawn.  Requests that run
    already may finish.  The agent starts no other request of that version, and
    the callers that it refuses are told that their requests were not run.
    """
    engine = start_serial_tutor(fleet)
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
    paused_at = time.monotonic()
    status, output = fleet.apply(
        ONE_AT_A_TIME.replace(
            "[version tutor/2]\n", "[version tutor/2]\nstate=withdrawn\n"
        )
    )
    assert status == 0, output
    withdrawn_at = time.monotonic()
    # On a busy machine the command takes seconds.  They count towards the pause:
    # entries give up an agent that is silent for too long, and would report the
    # outcome of its requests as unknown.
    time.sleep(max(paused_at + PAUSE_SECONDS - time.monotonic(), 0.0))
    fleet.agents["tutor-0"].send(signal.SIGCONT)
    for caller in callers:
        caller.join()
    engine.send(signal.SIGTERM)
    status, output = engine.wait()
    assert status == 0
    rows = [line.split() for line in output.splitlines()]
    starts = [float(row[2]) for row in rows if row[1] == "tutor/2"]
    late = [started_at for started_at in starts if started_at > withdrawn_at]
    assert starts and not late
    refused = [answer for answer in answers if answer.run == "not-run"]
    assert refused
    assert len(refused) + len(starts) <= len(answers), (starts, answers)


def test_a_killed_agent_issues_no_credential_twice(fleet):
    """An agent is killed while its service issues a credential.

    Nobody can know the outcome any more.  The caller is told so, and so is a
    later request with the same key.  The credential is never issued twice.
    """
    service = start_registry(fleet, delay=1.0)
    fleet.start_entry("entry-0")
    fleet.wait_ready()
    responses = []

    def send_first():
        responses.append(fleet.issue("entry-0", "once"))

    first = threading.Thread(target=send_first)
    first.start()
    time.sleep(0.5)
    fleet.agents["registry-0"].send(signal.SIGKILL)
    fleet.start_agent("registry-0", "registry", service.urls["service"])
    first.join()
    responses.append(fleet.issue("entry-0", "once"))
    for status, headers, body in responses:
        assert (status, headers["Eelgrassrack-Run"]) == (504, "unknown"), body
    assert count_runs(service).get("once", 0) <= 1
