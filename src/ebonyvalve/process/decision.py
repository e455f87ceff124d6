"""One log line for each routing or placement decision."""

import enum
import json
import logging
import time
import zlib

SAMPLING_STEPS = 10_000


class LogForm(enum.Enum):
    """How a log line is written."""

    KEY_VALUE = "key=value"
    JSON = "json"


def record(log: logging.Logger, level: int, event: str, **fields: object) -> None:
    """Write one decision.

    :param log: the module's logger.
    :param level: a level of :mod:`logging`.
    :param event: what was decided, in one stable word.
    :param fields: the inputs of the decision and its reason.
    """
    if log.isEnabledFor(level):
        log.log(level, event, extra={"fields": fields})


def is_sampled(request_id: str, share: float) -> bool:
    """Return whether the line of an answered request is written.

    The choice depends on the request id alone, so every hop makes the same one.

    :param request_id: the id that all hops of the request carry.
    :param share: share of answered requests to log, from 0 to 1.
    """
    return zlib.crc32(request_id.encode()) % SAMPLING_STEPS < share * SAMPLING_STEPS


def configure(form: LogForm, level: str) -> None:
    """Set up the process's logging to standard error.

    :param form: how lines are written.
    :param level: the name of a level of :mod:`logging`.
    """
    handler = logging.StreamHandler()
    formatter = logging.Formatter()
    # logging calls the instance's format, so a closure is enough and no subclass is needed.
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
    if text and not any(mark in text for mark in ' "=\n'):
        return text
    return json.dumps(text)
