"""Command line for operators of the platform.

``check`` needs no network and no running node; ``plan``, ``status`` and ``explain`` query a node at
its ready address.
"""

import collections.abc
import pathlib
import sys
import typing
import urllib.parse

import defopt
from returns import result
import trio

from ebonyvalve.platform import configuration, sockets
from ebonyvalve.process import decoding, http, identity, member, survey
from ebonyvalve.version import impact, traffic

Decoded = typing.TypeVar("Decoded")

DONE = 0
REFUSED = 1
UNANSWERED = 2
# Long enough for a node under load, without a long wait for one that is gone.
ASK_TIMEOUT_S = 5.0


def check(file: pathlib.Path, *, against: pathlib.Path | None = None) -> int:
    """Check a configuration as the platform stores it; list every reason against it.

    :param file: the JSON document.
    :param against: the document in force; what would change is listed, and a version that does
        not rise is refused.
    """
    loaded = read(file)
    reasons = loaded if isinstance(loaded, list) else []
    changes: list[str] = []
    before: traffic.TrafficConfig | None = None
    if against is not None:
        in_force = read_in_force(against)
        if isinstance(in_force, list):
            reasons = [*reasons, *(f"in force, {reason}" for reason in in_force)]
        else:
            before = in_force
    if isinstance(loaded, traffic.TrafficConfig) and before is not None:
        if loaded.version <= before.version:
            reasons = [f"version {loaded.version} is not above {before.version}, which is in force"]
        changes = traffic.list_changes(before, loaded)
    code = _print_findings(changes, reasons)
    noun = "reason" if len(reasons) == 1 else "reasons"
    print(f"refused, {len(reasons)} {noun}" if reasons else "accepted")
    return code


def _print_findings(changes: list[str], reasons: list[str]) -> int:
    """Print the changes and the reasons against them; return the exit status."""
    for line in changes:
        print(f"changes {line}")
    for reason in reasons:
        print(f"refused {reason}")
    return REFUSED if reasons else DONE


def read(file: pathlib.Path) -> traffic.TrafficConfig | list[str]:
    """Decode the configuration in a file; return every reason against it if it is invalid.

    :param file: the JSON document.
    """
    try:
        return configuration.decode(file.read_bytes())
    except OSError as exc:
        return [f"{file}: {exc.strerror}"]


def read_in_force(file: pathlib.Path) -> traffic.TrafficConfig | list[str]:
    """Decode the configuration in force as nodes do, without the entries that they skip.

    :param file: the JSON document.
    """
    try:
        loaded = configuration.load(file.read_bytes())
    except OSError as exc:
        return [f"{file}: {exc.strerror}"]
    return loaded if isinstance(loaded, list) else loaded.traffic


def plan(
    node: str,
    *,
    evacuate: str | None = None,
    file: pathlib.Path | None = None,
    against: pathlib.Path | None = None,
) -> int:
    """Print which keys and how much load a change would move, and every reason against it.

    :param node: ``IP:port`` of a node's ready address.
    :param evacuate: a zone whose targets would get nothing.
    :param file: a configuration that would replace the one in force.
    :param against: the configuration in force; needed with ``file``.
    """
    if (file is None) != (against is None) or (evacuate is None and file is None):
        print("give a zone to evacuate, or a file and the one that it is against", file=sys.stderr)
        return UNANSWERED
    node_survey = ask_survey(node)
    if node_survey is None:
        return UNANSWERED
    changes: list[str] = []
    reasons: list[str] = []
    if evacuate is not None:
        predicted = impact.predict_evacuation(node_survey, identity.ZoneId(evacuate))
        changes, reasons = predicted.changes, predicted.reasons
    if file is not None and against is not None:
        after, before = read(file), read_in_force(against)
        if isinstance(after, traffic.TrafficConfig) and isinstance(before, traffic.TrafficConfig):
            predicted = impact.predict_split(node_survey, before, after)
            access_changes = traffic.list_access_changes(before, after)
            changes = changes + predicted.changes + access_changes
            reasons = reasons + predicted.reasons
        for loaded in (after, before):
            if isinstance(loaded, list):
                reasons = reasons + loaded
    return _print_findings(changes, reasons)


def status(node: str) -> int:
    """Print a node's view: configuration, targets and their loads, ranges of keys.

    :param node: ``IP:port`` of a node's ready address.
    """
    node_survey = ask_survey(node)
    if node_survey is None:
        return UNANSWERED
    for line in describe(node_survey):
        print(line)
    return DONE


def explain(node: str, host: str, path: str, *, key: int | None = None) -> int:
    """Print what a node would do with a request now, and why.

    :param node: ``IP:port`` of a node's ready address.
    :param host: the request's host.
    :param path: its path.
    :param key: its key, if it has one.
    """
    params = {"host": host, "path": path}
    if key is not None:
        params["key"] = str(key)
    body = ask(node, f"/explain?{urllib.parse.urlencode(params)}")
    if body is None:
        return UNANSWERED
    lines = unwrap_or_report(node, decoding.decode(body, list[str]))
    if lines is None:
        return UNANSWERED
    for line in lines:
        print(line)
    return DONE


def describe(node_survey: survey.Survey) -> collections.abc.Iterator[str]:
    """Yield the lines that describe a node's view: configuration, targets, ledgers and gauges.

    :param node_survey: from the node.
    """
    yield f"node {node_survey.node} in {node_survey.zone}, service {node_survey.service}"
    yield "configuration " + ("none yet" if node_survey.config is None else str(node_survey.config))
    for reason in node_survey.refused:
        yield f"  a newer one was refused: {reason}"
    for reason in node_survey.skipped:
        yield f"  entry not used as written: {reason}"
    for zone in node_survey.evacuated:
        yield f"evacuated {zone}"
    for peer in node_survey.peers:
        yield _describe_peer(node_survey, peer)
    for service, ledger in sorted(node_survey.ledgers.items()):
        yield f"ledger of {service}, version {node_survey.versions[service]}"
        for span in ledger.spans:
            moving = f", moving to {span.successor_node}" if span.successor else ""
            holder = f"{span.holder} beside {span.node}" if span.holder else "nobody"
            yield f"  {span.first} to {span.last}: {holder}, fence {span.fence}{moving}"
    for name, value in sorted(node_survey.gauges.items()):
        yield f"{name} {value:g}"


def _describe_peer(node_survey: survey.Survey, peer: survey.Peer) -> str:
    target = peer.member
    line = f"target {target.lifetime} of {target.service} beside {target.node} in {target.zone}: "
    line += target.state.value
    if target.state is member.TargetState.READY and target.zone in node_survey.evacuated:
        line += ", evacuated"
    line += f", {survey.format_load(peer)}"
    return f"{line}, passed by for {peer.avoided_s:.1f} s" if peer.avoided_s else line


def ask_survey(node: str) -> survey.Survey | None:
    """Return a node's view of the mesh; print an error and return ``None`` if that fails.

    :param node: its ready address.
    """
    body = ask(node, "/status")
    if body is None:
        return None
    return unwrap_or_report(node, survey.decode(body))


def unwrap_or_report(node: str, decoded: result.Result[Decoded, str]) -> Decoded | None:
    """Return a decoded answer; print an error and return ``None`` if it could not be decoded.

    :param node: its ready address.
    :param decoded: the answer.
    """
    if not isinstance(decoded, result.Success):
        print(f"{node}: its answer can't be read: {decoded.failure()}", file=sys.stderr)
    return decoded.value_or(None)


def ask(node: str, path: str) -> bytes | None:
    """Return the body of a node's answer; print an error and return ``None`` if there is none.

    :param node: its ready address.
    :param path: path and query of the request.
    """
    host, _, port = node.rpartition(":")
    if not host or not port.isdecimal():
        print(f"{node}: is not IP:port", file=sys.stderr)
        return None

    async def fetch() -> result.Result[http.Reply, http.HttpFailure]:
        request = http.Request(method="GET", path=path)
        return await http.fetch(sockets.connect, node, request, timeout_s=ASK_TIMEOUT_S)

    fetched = trio.run(fetch)
    if not isinstance(fetched, result.Success):
        print(f"{node}: {fetched.failure().value}", file=sys.stderr)
        return None
    reply: http.Reply = fetched.unwrap()
    if reply.status != 200:
        print(f"{node}: answers {reply.status}", file=sys.stderr)
        return None
    return reply.body


def main() -> None:
    """Run the command line and exit with its status."""
    sys.exit(
        defopt.run(
            [check, plan, status, explain],
            argparse_kwargs={"prog": "ebonyvalve.platform.tool"},
        )
    )


if __name__ == "__main__":
    main()
