"""Errors and exit codes of the commands."""

from ..errors import UserError

OK = 0
REFUSED = 1
USAGE = 2
UNAVAILABLE = 3


class RefusedError(UserError):
    """The command was refused or found faults."""

    def __init__(self, text: str) -> None:
        super().__init__(text, exit_code=REFUSED)


class UnavailableError(UserError):
    """The platform or a daemon gave no usable answer in time."""

    def __init__(self, text: str) -> None:
        super().__init__(text, exit_code=UNAVAILABLE)
