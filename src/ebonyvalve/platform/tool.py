"""The operators' command line on the platform.

``check`` needs no network and no running node; ``plan``, ``status`` and ``explain`` ask a node at
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

Form = typing.TypeVar("Form")

DONE = 0
REFUSED = 1
UNANSWERED = 2
# An operator waits for a node under load, but not for one that is gone.
ASK_TIMEOUT_S = 5.0


def check(file: pathlib.Path, *, against: pathlib.Path | None = None) -> int:
    """Check a configuration as the platform stores it, with every reason against it.

    :param file: the JSON document.
    :param against: the document in force; what would change is listed, and a version that does
        not rise is refused.
    """
    found = read(file)
    reasons = found if isinstance(found, list) else []
    changes: list[str] = []
    before: traffic.TrafficConfig | None = None
    if against is not None:
        in_force = read(against)
        if isinstance(in_force, list):
            reasons = [*reasons, *(f"in force, {reason}" for reason in in_force)]
        else:
            before = in_force
    if isinstance(found, traffic.TrafficConfig) and before is not None:
        if found.version <= before.version:
            reasons = [f"version {found.version} is not above {before.version}, which is in force"]
        changes = traffic.list_changes(before, found)
    code = _print_findings(changes, reasons)
    noun = "reason" if len(reasons) == 1 else "reasons"
    print(f"refused, {len(reasons)} {noun}" if reasons else "accepted")
    return code


def _print_findings(changes: list[str], reasons: list[str]) -> int:
    """Print what would change and the reasons against it; return the exit status."""
    for line in changes:
        print(f"changes {line}")
    for reason in reasons:
        print(f"refused {reason}")
    return REFUSED if reasons else DONE


def read(file: pathlib.Path) -> traffic.TrafficConfig | list[str]:
    """Return the configuration of a file, or every reason against it.

    :param file: the JSON document.
    """
    try:
        return configuration.decode(file.read_bytes())
    except OSError as exc:
        return [f"{file}: {exc.strerror}"]


def plan(
    node: str,
    *,
    evacuate: str | None = None,
    file: pathlib.Path | None = None,
    against: pathlib.Path | None = None,
) -> int:
    """Say which keys and how much load a change would move, and every reason against it.

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
        found = impact.predict_evacuation(node_survey, identity.ZoneId(evacuate))
        changes, reasons = found.changes, found.reasons
    if file is not None and against is not None:
        after, before = read(file), read(against)
        if isinstance(after, traffic.TrafficConfig) and isinstance(before, traffic.TrafficConfig):
            found = impact.predict_split(node_survey, before, after)
            changes, reasons = changes + found.changes, reasons + found.reasons
        for unread in (after, before):
            if isinstance(unread, list):
                reasons = reasons + unread
    return _print_findings(changes, reasons)


def status(node: str) -> int:
    """Print what a node believes: configuration, targets and their loads, ranges of keys.

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
    asked = {"host": host, "path": path}
    if key is not None:
        asked["key"] = str(key)
    body = ask(node, f"/explain?{urllib.parse.urlencode(asked)}")
    if body is None:
        return UNANSWERED
    lines = unwrap_or_report(node, decoding.decode(body, list[str]))
    if lines is None:
        return UNANSWERED
    for line in lines:
        print(line)
    return DONE


def describe(node_survey: survey.Survey) -> collections.abc.Iterator[str]:
    """Return what a node believes, a line for each thing.

    :param seen: from the node.
    """
    yield f"node {node_survey.node} in {node_survey.zone}, service {node_survey.service}"
    yield "configuration " + ("none yet" if node_survey.config is None else str(node_survey.config))
    for reason in node_survey.refused:
        yield f"  a newer one was refused: {reason}"
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
    known = peer.member
    line = f"target {known.lifetime} of {known.service} beside {known.node} in {known.zone}: "
    line += known.state.value
    if known.state is member.TargetState.READY and known.zone in node_survey.evacuated:
        line += ", evacuated"
    line += f", {survey.format_load(peer)}"
    return f"{line}, passed by for {peer.avoided_s:.1f} s" if peer.avoided_s else line


def ask_survey(node: str) -> survey.Survey | None:
    """Return what a node believes, or ``None``, after saying why, if it does not tell.

    :param node: its ready address.
    """
    body = ask(node, "/status")
    if body is None:
        return None
    return unwrap_or_report(node, survey.decode(body))


def unwrap_or_report(node: str, decoded: result.Result[Form, str]) -> Form | None:
    """Return what a node has answered, or ``None``, after saying why, if it can't be read.

    :param node: its ready address.
    :param decoded: the answer.
    """
    if not isinstance(decoded, result.Success):
        print(f"{node}: its answer can't be read: {decoded.failure()}", file=sys.stderr)
    return decoded.value_or(None)


def ask(node: str, path: str) -> bytes | None:
    """Return a node's answer, or ``None``, after saying why, if there is none.

    :param node: its ready address.
    :param path: what is asked.
    """
    host, _, port = node.rpartition(":")
    if not host or not port.isdecimal():
        print(f"{node}: is not IP:port", file=sys.stderr)
        return None

    async def fetch() -> result.Result[http.Reply, http.HttpFailure]:
        request = http.Request(method="GET", path=path)
        return await http.fetch(sockets.connect, node, request, timeout_s=ASK_TIMEOUT_S)

    sent = trio.run(fetch)
    if not isinstance(sent, result.Success):
        print(f"{node}: {sent.failure().value}", file=sys.stderr)
        return None
    reply: http.Reply = sent.unwrap()
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
