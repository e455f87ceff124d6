"""Exceptions of the package.

Expected failures are returned as values; see ``request.outcome`` and ``process.platform``.
"""


class EbonyvalveError(Exception):
    """Base class of the exceptions raised by this package."""


class InvariantError(EbonyvalveError):
    """An invariant of the program was violated; the process must stop."""


class SettingsError(EbonyvalveError):
    """The settings of the daemon or the tool cannot be used."""
