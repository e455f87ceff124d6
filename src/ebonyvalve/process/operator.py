"""The operator port: health, readiness, metrics, status and explanations over HTTP."""

import collections.abc
import dataclasses
import functools
import urllib.parse

import msgspec

from ebonyvalve.process import http, identity, network, report

TEXT = "text/plain; charset=utf-8"
# The requests of operators need no body.
MAX_REQUEST_BYTES = 1024
METRICS_TEXT = "text/plain; version=0.0.4; charset=utf-8"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sources:
    """Functions that return what the port shows.

    ``list_obstacles`` returns the reasons why the node cannot serve; none if it can. ``explain``
    returns ``None`` for a service that does not exist.
    """

    list_obstacles: collections.abc.Callable[[], list[str]]
    read_status: collections.abc.Callable[[], collections.abc.Awaitable[report.Status]]
    explain: collections.abc.Callable[
        [identity.ServiceId, identity.KeyId], report.Explanation | None
    ]
    render_metrics: collections.abc.Callable[[], bytes]


def build_server(sources: Sources) -> network.Serve:
    """Return the server of the operator port.

    :param sources: what the port shows.
    """
    return functools.partial(
        http.serve, functools.partial(respond, sources), max_bytes=MAX_REQUEST_BYTES
    )


async def respond(sources: Sources, request: http.Request) -> http.Reply:
    """Answer one request of an operator or of a monitoring system.

    ``/healthz`` always succeeds while the process runs. ``/readyz`` returns status 503 and the
    reasons while the node cannot serve.

    :param sources: what the port shows.
    :param request: the request; only GET is allowed.
    """
    if request.method != "GET":
        return http.Reply(status=405, body=b"only GET\n", content_type=TEXT)
    path = request.path.split("?")[0]
    if path == "/healthz":
        return http.Reply(status=200, body=b"ok\n", content_type=TEXT)
    if path == "/readyz":
        obstacles = sources.list_obstacles()
        body = "".join(f"{line}\n" for line in obstacles or ["ready"])
        return http.Reply(status=503 if obstacles else 200, body=body.encode(), content_type=TEXT)
    if path == "/metrics":
        return http.Reply(status=200, body=sources.render_metrics(), content_type=METRICS_TEXT)
    if path == "/status":
        return http.Reply(status=200, body=msgspec.json.encode(await sources.read_status()))
    return _explain(sources, path)


def _explain(sources: Sources, path: str) -> http.Reply:
    parts = path.split("/")
    if len(parts) != 4 or parts[1] != "explain":
        return http.Reply(status=404, body=b"no such page\n", content_type=TEXT)
    service = identity.ServiceId(urllib.parse.unquote(parts[2]))
    key = identity.KeyId(urllib.parse.unquote(parts[3]))
    found = sources.explain(service, key)
    if found is None:
        body = f"service {service} does not exist\n".encode()
        return http.Reply(status=404, body=body, content_type=TEXT)
    return http.Reply(status=200, body=msgspec.json.encode(found))
