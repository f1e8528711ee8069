"""The parts of a load plan as plain classes."""

import enum

import msgspec


class RetryPolicy(enum.Enum):
    """What callers do after a refusal.

    `wait` obeys `Retry-After`, `at-once` sends again without a pause, as
    a badly written client does, and `never` gives up.
    """

    WAIT = "wait"
    AT_ONCE = "at-once"
    NEVER = "never"


class RequestKind(msgspec.Struct, kw_only=True, frozen=True):
    """One kind of request that an organisation sends.

    `deadline` is in seconds from the request's arrival.  `session_share`
    is the part of the requests (0 to 1) that belong to one of `sessions`
    sessions.  `prompt_words` holds sizes that are drawn evenly.  With
    `once` each request carries an idempotency key.
    """

    name: str
    organisation: str
    key: str
    model: str = ""
    service: str = ""
    method: str = "GET"
    path: str = "/"
    once: bool = False
    requests_per_second: float = 1.0
    max_tokens: int = 32
    stream: bool = True
    deadline: float = 30.0
    session_share: float = 0.0
    sessions: int = 20
    prompt_words: tuple[str, ...] = ("32",)
    returns: RetryPolicy = RetryPolicy.WAIT
    tries: int = 5


class Phase(msgspec.Struct, kw_only=True, frozen=True):
    """A stretch of the run in which rates are multiplied by `factor`.

    With `kinds` the factor holds for these only, and the others keep
    their own rates.
    """

    name: str
    seconds: float
    factor: float = 1.0
    kinds: tuple[str, ...] = ()

    def find_factor(self, kind: str) -> float:
        """Return what a kind's rate is multiplied by."""
        return self.factor if not self.kinds or kind in self.kinds else 1.0


class Limits(msgspec.Struct, kw_only=True, frozen=True):
    """Bounds of the whole run, and the seed of what is drawn."""

    most_requests: int = 20_000
    most_at_once: int = 1_000
    seed: int = 1


class Plan(msgspec.Struct, kw_only=True, frozen=True):
    """A load experiment: what is sent, when, and its bounds."""

    kinds: tuple[RequestKind, ...]
    phases: tuple[Phase, ...]
    limits: Limits = Limits()

    @property
    def seconds(self) -> float:
        """Return how long requests arrive."""
        return sum(phase.seconds for phase in self.phases)
