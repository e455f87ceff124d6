"""Pages of a running node for operators: metrics, status, explanation of a request."""

import urllib.parse

import msgspec

from ebonyvalve.connection import pipeline
from ebonyvalve.process import decoding, http, identity, survey
from ebonyvalve.process import node as node_module
from ebonyvalve.process.observation import counters
from ebonyvalve.request import explanation, origin

METRICS_PATH = "/metrics"
STATUS_PATH = "/status"
EXPLAIN_PATH = "/explain"


def answer(entry: origin.Origin, target: str) -> http.Reply:
    """Return the page that an operator requests.

    :param entry: the state.
    :param target: path and query of the request.
    """
    path, _, query = target.partition("?")
    if path == METRICS_PATH:
        gauges = {**node_module.list_gauges(entry.node), **list_pipelining(entry)}
        text = counters.render(entry.node.request_counters, gauges)
        return http.Reply(status=200, body=text, content_type=counters.CONTENT_TYPE)
    if path == STATUS_PATH:
        return http.Reply(status=200, body=survey.encode(survey.take(entry.node)))
    if path == EXPLAIN_PATH:
        return _explain(entry, query)
    return http.Reply(status=404, body=b"{}")


def list_pipelining(entry: origin.Origin) -> dict[str, float]:
    """Return the metrics of pipelined requests by name.

    :param entry: the state.
    """
    stats = entry.pipelining
    return {
        "pipelined_read_ahead": stats.read_ahead,
        "pipelined_alone": stats.alone,
        "pipelined_dropped": stats.dropped,
        "pipelined_delayed": stats.delayed,
        "pipelined_buffered_bytes": entry.buffer_usage.total_bytes,
        **{
            f"pipelined_in_flight_{number}": stats.in_flight[number]
            for number in range(2, pipeline.MAX_IN_FLIGHT + 1)
        },
    }


def _explain(entry: origin.Origin, query: str) -> http.Reply:
    """Explain how a request with a ``host``, a ``path`` and maybe a ``key`` would be routed."""
    params = dict(urllib.parse.parse_qsl(query))
    key = params.get("key", "")
    key_slot = decoding.read_count(key, max_value=identity.LAST_KEY_SLOT)
    if not params.get("host") or not params.get("path") or (key and key_slot is None):
        return http.Reply(status=400, body=b"{}")
    lines = explanation.explain(entry, params["host"].lower(), params["path"], key_slot)
    return http.Reply(status=200, body=msgspec.json.encode(lines))
