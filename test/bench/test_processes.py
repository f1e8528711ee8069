"""Tests of reading a process's CPU time and memory."""

import time

from bench.processes import read_cpu, read_rss


def test_reads_the_cpu_of_this_thread():
    before = time.thread_time()
    with open("/proc/thread-self/schedstat") as file:
        spent = read_cpu(file.read())
    # The scheduler updates its statistics only at the next tick.
    assert before - 0.1 <= spent <= time.thread_time() + 0.1


def test_reads_the_resident_megabytes():
    assert read_rss("Name:\tx\nVmHWM:\t  9 kB\nVmRSS:\t  2048 kB\n") == 2.0
