"""HTTP handlers of chats and requests for plain services."""

import asyncio

from ..document.sections import Organisation
from ..document.snapshot import Snapshot
from .arrivals import ChatArrival, ServiceArrival, read_chat, read_service
from .callerhandler import CallerHandler
from .refusals import CallerError


class ChatHandler(CallerHandler):
    """`POST /v1/chat/completions`."""

    async def post(self) -> None:
        """Answer a chat request."""
        caller = await self._receive()
        if caller is None:
            return
        organisation, options = caller.organisation, caller.options
        arrival = read_chat(body=self.body, options=options, organisation=organisation)
        if isinstance(arrival, CallerError):
            self._send_error(arrival)
            return
        await self._run(self._answer(arrival, organisation, self.core.snapshot))

    async def _answer(
        self, arrival: ChatArrival, organisation: Organisation, snapshot: Snapshot
    ) -> None:
        await self.core.chat.answer(
            arrival=arrival,
            organisation=organisation,
            snapshot=snapshot,
            responder=self.responder,
        )


class ServiceHandler(CallerHandler):
    """Any method under `/v1/services/NAME/...`."""

    kind = "service"

    async def _forward(self, name: str, path: str) -> None:
        caller = await self._receive()
        if caller is None:
            return
        organisation, options = caller.organisation, caller.options
        snapshot = self.core.snapshot
        service = snapshot.services.get(name)
        if service is None:
            text = f"There is no service named {name}."
            self._send_error(
                CallerError(status=404, code="service_not_found", text=text)
            )
            return
        query = f"?{self.request.query}" if self.request.query else ""
        arrival = read_service(
            service=service,
            method=self.request.method,
            path=f"/{path}{query}",
            sent=dict(self.request.headers.get_all()),
            body=self.body,
            size=self.size,
            options=options,
            organisation=organisation,
        )
        await self._run(self._answer(arrival, organisation, snapshot))

    async def _answer(
        self, arrival: ServiceArrival, organisation: Organisation, snapshot: Snapshot
    ) -> None:
        work = self.core.services.answer(
            arrival=arrival,
            organisation=organisation,
            snapshot=snapshot,
            responder=self.responder,
        )
        if arrival.repeatable:
            await work
            return
        # A request that isn't repeatable goes on when its caller disconnects, so
        # that a resend finds an outcome instead of a cancelled run.
        await asyncio.shield(self.core.run_detached(work))

    get = post = put = delete = patch = head = options = _forward
