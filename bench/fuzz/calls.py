"""The callers of a run, and the answer to each call."""

import asyncio
import itertools

import msgspec

from eelgrassrack.standins.caller import CallAnswer, Caller

from ..bodies import make_body
from .rig import ALLOWED_VERSIONS, SERVICE, Rig, make_api_key

CALL_TIMEOUT_SECONDS = 25.0

# A caller that gives up closes its connection after this time.
GIVE_UP_SECONDS = 0.06


class SentCall(msgspec.Struct, kw_only=True):
    """One call: the request, the entry it was sent to, and the answer.

    `began` and `ended` are event loop times in seconds.  `gave_up` is true if the
    caller closes its connection before the answer.
    """

    organisation: str
    entry: str
    began: float
    prompt: str = ""
    model: str = ""
    max_tokens: int = 0
    session: str = ""
    key: str = ""
    path: str = ""
    stream: bool = True
    gave_up: bool = False
    ended: float = 0.0
    answer: CallAnswer | None = None


class CallSender:
    """Send calls to the entries and keep all of them in `all`.

    The argument `pick` is a number from which each method derives the details of a
    call, such as its entry, model and length.  Without any entry nothing is sent
    and the methods return None.
    """

    def __init__(self, *, rig: Rig) -> None:
        self.all: list[SentCall] = []
        self.last: SentCall | None = None
        self._callers = {
            name: Caller(key=make_api_key(name)) for name in ALLOWED_VERSIONS
        }
        self._numbers = itertools.count(1)
        self._rig = rig
        self._tasks: set[asyncio.Task] = set()

    def close(self) -> None:
        """Close all connections."""
        for caller in self._callers.values():
            caller.close()

    async def wait(self) -> None:
        """Wait until every call has ended."""
        while self._tasks:
            await asyncio.gather(*self._tasks)

    def chat(
        self,
        *,
        pick: int,
        organisation: str = "school",
        model: str = "",
        session: str = "",
        mark: str = "",
        gave_up: bool = False,
    ) -> asyncio.Task | None:
        """Send a chat with a unique prompt; `mark` is the first word of it."""
        model = model or ("small", "large", "large", "large/2")[pick % 4]
        return self._start(
            pick,
            organisation=organisation,
            model=model,
            prompt=f"{mark or 'question'} {next(self._numbers)} {'hard' * (pick % 3)}",
            max_tokens=4 + pick // 4 % 40,
            session=session,
            stream=bool(pick // 8 % 3),
            gave_up=gave_up,
        )

    def repeat(self, *, prompt: str, pick: int) -> None:
        """Send a prompt again, like a caller that got no answer."""
        self._start(pick, organisation="school", model="large", prompt=prompt)

    def look_up(self, *, pick: int) -> asyncio.Task | None:
        """Send a lookup, which is repeatable."""
        path = f"/v1/services/{SERVICE}/record/{next(self._numbers)}"
        return self._start(pick, organisation="club", path=path)

    def issue(self, *, pick: int, key: str = "") -> asyncio.Task | None:
        """Send a request that isn't repeatable, or resend it under `key`."""
        path = f"/v1/services/{SERVICE}/credentials"
        key = key or f"key-{next(self._numbers)}"
        return self._start(pick, organisation="school", path=path, key=key)

    def _start(self, pick: int, **fields: object) -> asyncio.Task | None:
        names = sorted(self._rig.entries)
        if not names:
            return None
        now = asyncio.get_running_loop().time()
        entry = names[pick // 16 % len(names)]
        call = SentCall(entry=entry, began=now, **fields)
        self.last = call
        self.all.append(call)
        url = self._rig.entries[entry].url
        task = asyncio.create_task(self._send(call, url))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _send(self, call: SentCall, url: str) -> SentCall:
        caller = self._callers[call.organisation]
        seconds = GIVE_UP_SECONDS if call.gave_up else CALL_TIMEOUT_SECONDS
        if call.path:
            call.answer = await caller.send(
                url=url + call.path,
                method="POST" if call.key else "GET",
                body=make_body(call.key).content if call.key else None,
                fields={"Idempotency-Key": call.key} if call.key else None,
                timeout=seconds,
            )
        else:
            call.answer = await caller.chat(
                url=url,
                model=call.model,
                prompt=call.prompt,
                max_tokens=call.max_tokens,
                stream=call.stream,
                fields={"Eelgrassrack-Session": call.session} if call.session else None,
                timeout=seconds,
            )
        call.ended = asyncio.get_running_loop().time()
        return call
