"""Tests that operations on many objects succeed despite the daemon's call budget."""

import asyncio

from eelgrassrack.store.budget import CallBudget
from eelgrassrack.store.objects import Unavailable
from eelgrassrack.store.texts import SectionTexts, digest_text
from eelgrassrack.store.throttling import MAX_WAIT_SECONDS, retry_throttled

from .steps import make_store


class ThrottledStore:
    """An object store that refuses calls beyond a budget."""

    def __init__(self, budget):
        self.store = make_store()
        self.budget = budget

    def __getattr__(self, call):
        async def run(**arguments):
            now = asyncio.get_running_loop().time()
            if not self.budget.admit(now=now):
                wait = self.budget.find_wait(now=now)
                return Unavailable(reason="call budget is spent", retry_after=wait)
            return await getattr(self.store, call)(**arguments)

        return run


def test_long_document_is_written_and_read():
    """A document has more sections than the daemon's call budget holds."""
    store = ThrottledStore(CallBudget(per_second=400.0, burst=5.0))
    texts = [f"[domain {number}]" for number in range(60)]
    digests = [digest_text(text) for text in texts]

    async def play():
        assert await SectionTexts(store=store).write(texts=texts) is None
        return await SectionTexts(store=store).read(digests=digests)

    assert list(asyncio.run(play()).values()) == texts


def test_progress_is_kept():
    """The platform becomes unavailable while a long document is read."""
    store = ThrottledStore(CallBudget(per_second=1e-6, burst=100.0))
    texts = [f"[domain {number}]" for number in range(40)]
    digests = [digest_text(text) for text in texts]

    async def play():
        await SectionTexts(store=store).write(texts=texts)
        reader = SectionTexts(store=store)
        store.budget = CallBudget(per_second=1e-6, burst=30.0)
        failed = await reader.read(digests=digests)
        store.budget = CallBudget(per_second=1e-6, burst=30.0)
        return failed, await reader.read(digests=digests)

    failed, read = asyncio.run(play())
    assert isinstance(failed, Unavailable)
    assert set(read) == set(digests)


def test_outage_is_not_waited_out():
    """An outage must be returned to the caller at once, which handles it."""
    calls = []

    async def fail():
        calls.append(1)
        return Unavailable(reason="outage", retry_after=MAX_WAIT_SECONDS * 2)

    assert isinstance(asyncio.run(retry_throttled(fail)), Unavailable)
    assert len(calls) == 1
