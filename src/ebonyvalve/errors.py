"""Exceptions of the package.

Expected failures are returned as values; see ``request.outcome`` and ``process.platform``.
"""


class EbonyvalveError(Exception):
    """Base class of the exceptions raised by this package."""


class InvariantError(EbonyvalveError):
    """An invariant of the program was violated; the process must stop."""


class SettingsError(EbonyvalveError):
    """The settings of the daemon or the tool cannot be used."""


def is_invariant_violated(exc: Exception) -> bool:
    """Return whether an exception, or one of a group, means that the process must stop.

    :param exc: the exception.
    """
    if isinstance(exc, ExceptionGroup):
        return exc.subgroup(InvariantError) is not None
    return isinstance(exc, InvariantError)
