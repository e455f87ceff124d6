"""Structured logging: one line for each routing or placement decision."""

import enum
import json
import logging
import time
import zlib

SAMPLING_STEPS = 10_000


class LogForm(enum.Enum):
    """The format of log lines."""

    KEY_VALUE = "key=value"
    JSON = "json"


def record(log: logging.Logger, level: int, event: str, **fields: object) -> None:
    """Log one decision.

    :param log: the module's logger.
    :param level: a level of :mod:`logging`.
    :param event: what was decided, as one word that stays the same over releases.
    :param fields: the inputs of the decision and its reason.
    """
    if log.isEnabledFor(level):
        log.log(level, event, extra={"fields": fields})


def is_sampled(request_id: str, share: float) -> bool:
    """Return whether the line of an answered request is logged.

    The result depends only on the request id, so it is the same at every hop.

    :param request_id: the id that all hops of the request carry.
    :param share: share of answered requests to log, from 0 to 1.
    """
    return zlib.crc32(request_id.encode()) % SAMPLING_STEPS < share * SAMPLING_STEPS


def configure(form: LogForm, level: str) -> None:
    """Log to standard error from now on.

    :param form: the format of the lines.
    :param level: the lowest level that is logged, by its name in :mod:`logging`.
    """
    handler = logging.StreamHandler()
    formatter = logging.Formatter()
    # The handler calls the instance's format(), so a function can replace it without a subclass.
    write = format_json if form is LogForm.JSON else format_text
    setattr(formatter, "format", write)  # noqa: B010
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


def format_text(entry: logging.LogRecord) -> str:
    """Return a log entry as ``key=value`` pairs.

    :param entry: the entry.
    """
    pairs = [f"{key}={_quote(value)}" for key, value in _list_fields(entry).items()]
    return " ".join(pairs)


def format_json(entry: logging.LogRecord) -> str:
    """Return a log entry as one JSON object.

    :param entry: the entry.
    """
    return json.dumps(_list_fields(entry), default=_to_plain_value)


def _list_fields(entry: logging.LogRecord) -> dict[str, object]:
    at = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(entry.created))
    fields: dict[str, object] = {
        "at": f"{at}.{int(entry.msecs):03d}Z",
        "level": entry.levelname.lower(),
        "module": entry.name.removeprefix("ebonyvalve."),
        "event": entry.getMessage(),
    }
    fields.update(getattr(entry, "fields", {}))
    if entry.exc_info:
        fields["error"] = logging.Formatter().formatException(entry.exc_info)
    return fields


def _to_plain_value(value: object) -> object:
    return value.value if isinstance(value, enum.Enum) else str(value)


def _quote(value: object) -> str:
    text = str(_to_plain_value(value) if isinstance(value, enum.Enum) else value)
    if text and not any(special in text for special in ' "=\n'):
        return text
    return json.dumps(text)
