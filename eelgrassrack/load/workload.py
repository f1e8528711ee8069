"""Classes that hold the parts of a load plan."""

import enum

import msgspec


class RetryPolicy(enum.Enum):
    """What callers do after a refusal.

    `wait` obeys `Retry-After`, `at-once` retries without a pause, as a badly
    written client does, and `never` gives up.
    """

    WAIT = "wait"
    AT_ONCE = "at-once"
    NEVER = "never"


class RequestKind(msgspec.Struct, kw_only=True, frozen=True):
    """One kind of request that an organisation sends.

    `deadline` is in seconds from the arrival of a request.  `session_share`
    is the part of the requests (0 to 1) that belong to one of `sessions`
    sessions.  `prompt_words` holds prompt sizes, drawn with equal
    probability.  With `once` each request carries an idempotency key.
    `returns` is what its callers do after a refusal.
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
    """A part of the run during which rates are multiplied by `factor`.

    With `kinds` the factor applies only to these, and the others keep their
    own rates.
    """

    name: str
    seconds: float
    factor: float = 1.0
    kinds: tuple[str, ...] = ()

    def find_factor(self, kind: str) -> float:
        """Return the factor that applies to the rate of a kind."""
        return self.factor if not self.kinds or kind in self.kinds else 1.0


class Limits(msgspec.Struct, kw_only=True, frozen=True):
    """Limits of the whole run, and the seed of its random draws."""

    most_requests: int = 20_000
    most_at_once: int = 1_000
    seed: int = 1


class Plan(msgspec.Struct, kw_only=True, frozen=True):
    """A load experiment: kinds of requests, phases and limits."""

    kinds: tuple[RequestKind, ...]
    phases: tuple[Phase, ...]
    limits: Limits = Limits()

    @property
    def seconds(self) -> float:
        """Return the length of the run up to its last arrivals, in seconds."""
        return sum(phase.seconds for phase in self.phases)
