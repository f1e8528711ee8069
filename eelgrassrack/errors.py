"""The base class of all errors, and the error that is shown to users."""


class EelgrassrackError(Exception):
    """Base class of all errors that this package raises."""


class FormatError(EelgrassrackError):
    """Data from outside this process can't be decoded, or may not be used."""


class UserError(EelgrassrackError):
    """An error whose text the command line prints without a traceback.

    `exit_code` is the exit status of the process.
    """

    def __init__(self, text: str, *, exit_code: int = 1) -> None:
        super().__init__(text)
        self.exit_code = exit_code
