"""Continuous batching with a limited number of slots and an LRU prefix cache."""

import collections
import heapq
import itertools
from typing import Protocol

BLOCK_CHARACTERS = 64


class Sink(Protocol):
    """Receives the tokens of an answer."""

    def add_token(self, *, token: str) -> None:
        """Receive the next token."""

    def finish_answer(self) -> None:
        """Finish the answer after its last token."""


class Generation:
    """One request inside the engine.

    `produced` is the number of tokens emitted so far, `ready_at` the time when its
    prompt has been read, and `removed` whether it has left the batch.
    """

    __slots__ = (
        "priority",
        "produced",
        "prompt",
        "ready_at",
        "removed",
        "sink",
        "tokens",
    )

    def __init__(
        self, *, prompt: str, tokens: list[str], sink: Sink, priority: int = 0
    ) -> None:
        self.prompt = prompt
        self.tokens = tokens
        self.sink = sink
        self.priority = priority
        self.produced = 0
        self.ready_at = 0.0
        self.removed = False

    @property
    def is_done(self) -> bool:
        """Return whether all tokens have been emitted."""
        return self.produced >= len(self.tokens)


class PrefixCache:
    """An LRU cache of prompt prefixes, counted in blocks of characters.

    `hits` and `misses` count blocks.
    """

    __slots__ = ("_blocks", "_max_blocks", "hits", "misses")

    def __init__(self, *, max_blocks: int) -> None:
        self._blocks: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._max_blocks = max_blocks
        self.hits = 0
        self.misses = 0

    def look_up(self, *, prompt: str) -> int:
        """Cache all blocks of the prompt; return how many were not cached before."""
        ends = range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS)
        prefixes = [prompt[:end] for end in ends]
        cached = list(itertools.takewhile(self._blocks.__contains__, prefixes))
        for prefix in prefixes:
            self._blocks[prefix] = None
            self._blocks.move_to_end(prefix)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)
        missed = len(prefixes) - len(cached)
        self.hits += len(cached)
        self.misses += missed
        return missed

    def clear(self) -> None:
        """Remove all prefixes."""
        self._blocks.clear()


class Batch:
    """The requests inside an engine, both running and waiting for a slot.

    `prefill_seconds` is the time to read one uncached block of a prompt.
    The waiting request with the lowest priority number runs first.
    """

    __slots__ = ("_serial", "_waiting", "cache", "prefill_seconds", "running", "slots")

    def __init__(
        self, *, slots: int, prefill_seconds: float = 0.0, cache_blocks: int = 1024
    ) -> None:
        self.slots = slots
        self.prefill_seconds = prefill_seconds
        self.cache = PrefixCache(max_blocks=cache_blocks)
        self.running: list[Generation] = []
        self._waiting: list[tuple[int, int, Generation]] = []
        self._serial = itertools.count()

    @property
    def waiting(self) -> int:
        """Return how many requests wait for a slot."""
        return len(self._waiting)

    @property
    def size(self) -> int:
        """Return how many requests are inside the engine."""
        return len(self.running) + len(self._waiting)

    def submit(self, generation: Generation) -> None:
        """Queue a request for a slot."""
        entry = (generation.priority, next(self._serial), generation)
        heapq.heappush(self._waiting, entry)

    def admit(self, *, now: float) -> list[Generation]:
        """Give free slots to waiting requests and return these requests."""
        admitted = []
        while self._waiting and len(self.running) < self.slots:
            generation = heapq.heappop(self._waiting)[2]
            missed = self.cache.look_up(prompt=generation.prompt)
            generation.ready_at = now + missed * self.prefill_seconds
            self.running.append(generation)
            admitted.append(generation)
        return admitted

    def step(self, *, now: float) -> list[Generation]:
        """Emit one token for each request that is ready; return the finished ones."""
        ready = [each for each in self.running if each.ready_at <= now]
        for generation in ready:
            generation.produced += 1
            generation.sink.add_token(token=generation.tokens[generation.produced - 1])
        # A sink may cancel its request while it handles the token.
        ended = [each for each in ready if not each.removed and each.is_done]
        for generation in ended:
            self.cancel(generation)
            generation.sink.finish_answer()
        return ended

    def cancel(self, generation: Generation) -> bool:
        """Remove a request and free its slot.

        Return False if it was already removed.
        """
        if generation.removed:
            return False
        generation.removed = True
        self.running = [each for each in self.running if each is not generation]
        self._waiting = [entry for entry in self._waiting if entry[2] is not generation]
        heapq.heapify(self._waiting)
        return True

    def clear(self) -> None:
        """Remove all requests and clear the cache, as a crash does."""
        for generation in self.running:
            generation.removed = True
        for _, _, generation in self._waiting:
            generation.removed = True
        self.running = []
        self._waiting = []
        self.cache.clear()
