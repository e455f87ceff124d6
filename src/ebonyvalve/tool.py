"""The command line tool for operators, ``ebonyvalve``.

The commands only read, check and publish configuration objects; none of them moves traffic itself.
"""

import collections.abc
import contextlib
import dataclasses
import datetime
import enum
import getpass
import importlib
import json
import os
import pathlib
import secrets
import sys
import typing
import urllib.parse

import defopt
import msgspec
from returns import result
import trio

import ebonyvalve
from ebonyvalve.process import http, identity, network, platform, report, settings, timer
from ebonyvalve.version import check, finding, load, objects, plan, preview, publish

DEFAULT_SETTINGS = "ebonyvalve.json"
DEFAULT_WAIT_S = 30.0
DEFAULT_EVERY_S = 2.0
# Each repetition sends a request to every node; a shorter period only adds load to the nodes.
MIN_EVERY_S = 0.5
DEFAULT_LAST = 20


class ExitStatus(enum.IntEnum):
    """The exit status of a command."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    # A node or the store did not answer, or it is not known whether a publication took effect.
    UNKNOWN = 3


class ToolSettings(msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """The settings file of the command line. Addresses are ``IP:port``."""

    platform_address: identity.Address
    # The operator address of each node.
    nodes: dict[identity.NodeId, identity.Address] = {}
    timeout_s: typing.Annotated[float, msgspec.Meta(gt=0.0, le=600.0)] = 2.0
    # The author shown in the history; the name of the system user if empty.
    author: str = ""
    tls: settings.Tls | None = None


OpenPlatform = collections.abc.Callable[
    [ToolSettings], contextlib.AbstractAsyncContextManager[platform.Platform]
]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Environment:
    """The input and output of the command line, which tests replace."""

    connect: collections.abc.Callable[[ToolSettings], network.Connect]
    open_platform: OpenPlatform
    write: collections.abc.Callable[[str], None]
    write_error: collections.abc.Callable[[str], None]
    clock: timer.Clock
    read_time: collections.abc.Callable[[], datetime.datetime]
    draw_id: collections.abc.Callable[[], str]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Session:
    """The environment, settings and connections of one command."""

    environment: Environment
    settings: ToolSettings
    connect: network.Connect
    clock: timer.Timer
    is_json: bool


Action = collections.abc.Callable[[Session], collections.abc.Awaitable[ExitStatus]]
PlatformAction = collections.abc.Callable[
    [Session, platform.Platform], collections.abc.Awaitable[ExitStatus]
]
Commands = dict[str, collections.abc.Callable[..., int]]


class CheckReport(msgspec.Struct, kw_only=True, frozen=True):
    """The JSON output of ``check``."""

    is_accepted: bool
    findings: list[finding.Finding]


class PublishReport(msgspec.Struct, kw_only=True, frozen=True):
    """The JSON output of ``publish``. ``lagging`` lists the nodes that lack the version."""

    plan: plan.Plan
    published: publish.Published | None = None
    lagging: list[report.NodeVersion] = []


class StatusReport(msgspec.Struct, kw_only=True, frozen=True):
    """The JSON output of ``status``."""

    nodes: list[report.Status]
    silent: list[report.NodeVersion]


class HistoryReport(msgspec.Struct, kw_only=True, frozen=True):
    """The JSON output of ``history``, newest first."""

    in_force: identity.ConfigVersion
    entries: list[publish.Entry]


@dataclasses.dataclass(frozen=True, kw_only=True)
class MeshView:
    """The statuses of the nodes that answered, and for the others why they did not."""

    statuses: list[report.Status]
    silent: list[report.NodeVersion]


def open_environment() -> Environment:
    """Return the environment with the real network, clock and terminal."""
    return Environment(
        connect=_open_connect,
        open_platform=_open_platform,
        write=lambda text: print(text, flush=True),
        write_error=lambda text: print(text, file=sys.stderr, flush=True),
        clock=timer.read_boot_clock,
        read_time=lambda: datetime.datetime.now(datetime.UTC),
        draw_id=lambda: secrets.token_hex(16),
    )


def main() -> None:
    """Run the command line and exit with its status."""
    status = run(sys.argv[1:], open_environment())
    try:
        sys.stdout.flush()
    except BrokenPipeError:
        # The interpreter flushes stdout again at exit, which would print a stack trace.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    sys.exit(status)


def run(arguments: list[str], environment: Environment) -> int:
    """Run one command and return its exit status.

    :param arguments: the arguments after the program's name.
    :param environment: the input and output of the command line.
    """
    try:
        return int(
            defopt.run(
                build_commands(environment),
                argv=arguments,
                no_negated_flags=True,
                version=ebonyvalve.__version__,
                argparse_kwargs={"prog": "ebonyvalve"},
            )
        )
    except SystemExit as error:
        return error.code if isinstance(error.code, int) else ExitStatus.USAGE
    except BaseException as error:
        if _contains(error, KeyboardInterrupt):
            environment.write_error("interrupted")
        # After a broken pipe nobody reads the output, so the error is not reported.
        elif not _contains(error, BrokenPipeError):
            environment.write_error(f"internal error: {type(error).__name__}: {error}")
        return ExitStatus.UNKNOWN


def build_commands(environment: Environment) -> Commands:
    """Return the commands by name.

    :param environment: the input and output of the command line.
    """

    def check_command(
        directory: str,
        *,
        add: list[str] = [],  # noqa: B006 -- defopt reads the default and never changes it
        live: bool = False,
        json: bool = False,
        settings: str = DEFAULT_SETTINGS,
    ) -> int:
        """Check a directory of objects and report every reason against it.

        :param directory: the directory of object files.
        :param add: further directories that belong to the same set.
        :param live: count the targets that the nodes see, instead of those that the zones state.
        :param json: print JSON.
        :param settings: the tool's settings file; only read with --live.
        """
        if not live:
            return _check_offline(environment, [directory, *add], is_json=json)
        return _start(
            environment, settings, json, lambda session: _check_live(session, [directory, *add])
        )

    def plan_command(
        directory: str,
        *,
        add: list[str] = [],  # noqa: B006
        json: bool = False,
        settings: str = DEFAULT_SETTINGS,
    ) -> int:
        """Show what publishing a directory would change, and whether it is safe.

        :param directory: the directory of object files.
        :param add: further directories that belong to the same set.
        :param json: print JSON.
        :param settings: the tool's settings file.
        """
        action = _use_platform(
            lambda session, services: _plan(session, services, [directory, *add])
        )
        return _start(environment, settings, json, action)

    def publish_command(
        directory: str = "",
        *,
        add: list[str] = [],  # noqa: B006
        note: str = "",
        from_version: int = 0,
        base: int = -1,
        wait_s: float = DEFAULT_WAIT_S,
        json: bool = False,
        settings: str = DEFAULT_SETTINGS,
    ) -> int:
        """Publish a directory of objects, and wait until it is in force everywhere.

        :param directory: the directory of object files.
        :param add: further directories that belong to the same set.
        :param note: the reason for the change, for the history.
        :param from_version: publish the objects of this version again, instead of a directory; may
            be written --from.
        :param base: refuse unless this version is in force, for example the one a plan named.
        :param wait_s: seconds to wait until it is in force; 0 does not wait.
        :param json: print JSON.
        :param settings: the tool's settings file.
        """
        if bool(directory) == (from_version > 0):
            environment.write_error("publish takes either a directory or --from VERSION")
            return ExitStatus.USAGE
        arguments = PublishArguments(
            directories=[directory, *add] if directory else [],
            from_version=identity.ConfigVersion(from_version),
            base=None if base < 0 else identity.ConfigVersion(base),
            note=note or (f"again version {from_version}" if from_version else ""),
            wait_s=wait_s,
        )
        action = _use_platform(lambda session, services: _publish(session, services, arguments))
        return _start(environment, settings, json, action)

    def status_command(
        *,
        watch: bool = False,
        every_s: float = DEFAULT_EVERY_S,
        json: bool = False,
        settings: str = DEFAULT_SETTINGS,
    ) -> int:
        """Show nodes, targets, zones, owners and drains.

        :param watch: repeat until interrupted.
        :param every_s: seconds between repetitions.
        :param json: print JSON, one line per repetition.
        :param settings: the tool's settings file.
        """
        every = max(every_s, MIN_EVERY_S) if watch else None
        try:
            return _start(environment, settings, json, lambda session: _status(session, every))
        except BaseException as error:
            if watch and _contains(error, KeyboardInterrupt):
                return ExitStatus.DONE
            raise

    def explain_command(
        service: str,
        key: str,
        *,
        json: bool = False,
        settings: str = DEFAULT_SETTINGS,
    ) -> int:
        """Explain who owns a key, since when and why, and how a request would be routed now.

        :param service: the service.
        :param key: the key.
        :param json: print JSON.
        :param settings: the tool's settings file.
        """
        return _start(environment, settings, json, lambda session: _explain(session, service, key))

    def history_command(
        *,
        last: int = DEFAULT_LAST,
        json: bool = False,
        settings: str = DEFAULT_SETTINGS,
    ) -> int:
        """List the published versions, newest first.

        :param last: the number of versions.
        :param json: print JSON.
        :param settings: the tool's settings file.
        """
        action = _use_platform(lambda session, services: _history(session, services, last))
        return _start(environment, settings, json, action)

    def demo_command(*, seconds: float | None = None) -> int:
        """Run a small mesh in this process on loopback, with toy targets and a little traffic.

        :param seconds: stop after this time; the status is 0 only when every answer was right.
        """
        # Imported here because only the demo needs the daemon's modules.
        mesh = importlib.import_module("ebonyvalve.process.demo")
        try:
            return int(trio.run(mesh.run, seconds))
        except KeyboardInterrupt:
            return ExitStatus.DONE

    return {
        "check": check_command,
        "plan": plan_command,
        "publish": publish_command,
        "status": status_command,
        "explain": explain_command,
        "history": history_command,
        "demo": demo_command,
    }


@dataclasses.dataclass(frozen=True, kw_only=True)
class PublishArguments:
    """The arguments of ``publish``."""

    directories: list[str]
    from_version: identity.ConfigVersion
    base: identity.ConfigVersion | None
    note: str
    wait_s: float


def _open_connect(tool_settings: ToolSettings) -> network.Connect:
    if tool_settings.tls is None:
        return network.connect_tcp
    tls = tool_settings.tls
    context = network.build_context(tls.certificate, tls.key, tls.authority, is_server=False)
    return network.build_tls_connect(context)


def _open_platform(
    tool_settings: ToolSettings,
) -> contextlib.AbstractAsyncContextManager[platform.Platform]:
    # Imported here so that commands that need no platform work without its client.
    remote = importlib.import_module("ebonyvalve.process.remote")
    host, port = network.split_address(tool_settings.platform_address)
    opened: contextlib.AbstractAsyncContextManager[platform.Platform] = remote.open_client(
        host=host, port=port, timeout_s=tool_settings.timeout_s
    )
    return opened


def _use_platform(action: PlatformAction) -> Action:
    """Return an action that runs with the platform's services open."""

    async def act(session: Session) -> ExitStatus:
        async with session.environment.open_platform(session.settings) as services:
            return await action(session, services)

    return act


def _contains(error: BaseException, kind: type[BaseException]) -> bool:
    if isinstance(error, BaseExceptionGroup):
        return any(_contains(inner, kind) for inner in error.exceptions)
    return isinstance(error, kind)


def _find_author(tool_settings: ToolSettings) -> str:
    if tool_settings.author:
        return tool_settings.author
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return f"user {os.getuid()}"


def read_settings(path: pathlib.Path) -> result.Result[ToolSettings, str]:
    """Return the settings of the command line, or why they cannot be used.

    :param path: the settings file.
    """
    try:
        tool_settings = msgspec.json.decode(path.read_bytes(), type=ToolSettings)
    except OSError as error:
        return result.Failure(f"{path}: {error.strerror}; name the settings file with --settings")
    except (msgspec.MsgspecError, RecursionError) as error:
        return result.Failure(f"{path}: {error}")
    addresses = {"platform_address": tool_settings.platform_address}
    addresses |= {f"nodes.{node}": address for node, address in tool_settings.nodes.items()}
    for field, address in addresses.items():
        host, _, port = address.rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) < 65536:
            return result.Failure(f"{path}: {field}: {address!r} is not of the form IP:port")
    return result.Success(tool_settings)


def _start(environment: Environment, path: str, is_json: bool, action: Action) -> int:
    read = read_settings(pathlib.Path(path))
    if not isinstance(read, result.Success):
        environment.write_error(read.failure())
        return ExitStatus.USAGE
    try:
        connect = environment.connect(read.unwrap())
    except OSError as error:
        environment.write_error(f"{path}: tls: {error.strerror or error}")
        return ExitStatus.USAGE
    session = Session(
        environment=environment,
        settings=read.unwrap(),
        connect=connect,
        clock=timer.Timer(clock=environment.clock),
        is_json=is_json,
    )
    return trio.run(_run_action, session, action)


async def _run_action(session: Session, action: Action) -> ExitStatus:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(timer.run, session.clock)
        status = await action(session)
        nursery.cancel_scope.cancel()
    return status


def _emit(session: Session, value: msgspec.Struct, lines: collections.abc.Iterable[str]) -> None:
    _emit_to(session.environment, value, lines, is_json=session.is_json)


def _emit_to(
    environment: Environment,
    value: msgspec.Struct,
    lines: collections.abc.Iterable[str],
    *,
    is_json: bool,
) -> None:
    if is_json:
        environment.write(msgspec.json.encode(value).decode())
        return
    for line in lines:
        environment.write(line)


def _fail(session: Session, cause: str) -> ExitStatus:
    """Report that the command failed because a node or the store did not answer."""
    if session.is_json:
        session.environment.write(json.dumps({"error": cause}))
    else:
        session.environment.write_error(cause)
    return ExitStatus.UNKNOWN


def _load(paths: list[str]) -> load.LoadResult:
    return load.read_directories([pathlib.Path(path) for path in paths])


def _report_check(
    environment: Environment, findings: list[finding.Finding], *, is_json: bool
) -> ExitStatus:
    refusals = finding.list_refusals(findings)
    warnings = len(findings) - len(refusals)
    verdict = f"refused, {_count(len(refusals), 'reason')}" if refusals else "accepted"
    summary = f"{verdict}, {_count(warnings, 'warning')}"
    lines = [*(finding.render(entry) for entry in findings), summary]
    value = CheckReport(is_accepted=not refusals, findings=findings)
    _emit_to(environment, value, lines, is_json=is_json)
    return ExitStatus.REFUSED if refusals else ExitStatus.DONE


def _count(number: int, noun: str) -> str:
    return f"{number} {noun}{'' if number == 1 else 's'}"


def _check_offline(environment: Environment, paths: list[str], *, is_json: bool) -> ExitStatus:
    loaded = _load(paths)
    if not isinstance(loaded, result.Success):
        return _report_check(environment, loaded.failure(), is_json=is_json)
    entries = loaded.unwrap()
    findings = finding.locate(check.check_objects(entries.objects), entries.files)
    return _report_check(environment, findings, is_json=is_json)


async def _check_live(session: Session, paths: list[str]) -> ExitStatus:
    loaded = _load(paths)
    if not isinstance(loaded, result.Success):
        return _report_check(session.environment, loaded.failure(), is_json=session.is_json)
    targets = list_targets(await _fetch_view(session))
    if targets is None:
        return _fail(session, "no node answers, so its targets are not known")
    entries = loaded.unwrap()
    findings = finding.locate(check.check_objects(entries.objects, targets), entries.files)
    return _report_check(session.environment, findings, is_json=session.is_json)


async def _build_plan(
    session: Session,
    services: platform.Platform,
    head: publish.Head,
    entries: objects.ObjectSet,
    files: finding.Files,
) -> result.Result[plan.Plan, str]:
    before = await publish.read_objects(services.objects, head.entry)
    if not isinstance(before, result.Success):
        return result.Failure(before.failure())
    view = await _fetch_view(session)
    targets = list_targets(view)
    built = plan.build_plan(
        base=publish.find_version(head),
        before=before.unwrap(),
        after=entries,
        targets=targets,
        preview=_find_preview(view),
    )
    if targets is None and session.settings.nodes:
        session.environment.write_error(
            "no node answers; the numbers of targets that the zones state are used"
        )
    located = finding.locate(built.findings, files)
    return result.Success(msgspec.structs.replace(built, findings=located))


async def _plan(session: Session, services: platform.Platform, paths: list[str]) -> ExitStatus:
    loaded = _load(paths)
    if not isinstance(loaded, result.Success):
        return _report_check(session.environment, loaded.failure(), is_json=session.is_json)
    head = await publish.read_head(services.table)
    if not isinstance(head, result.Success):
        return _fail(session, head.failure())
    entries = loaded.unwrap()
    built = await _build_plan(session, services, head.unwrap(), entries.objects, entries.files)
    if not isinstance(built, result.Success):
        return _fail(session, built.failure())
    _emit(session, built.unwrap(), plan.render_plan(built.unwrap()))
    return ExitStatus.DONE if built.unwrap().is_safe else ExitStatus.REFUSED


async def _publish(
    session: Session, services: platform.Platform, arguments: PublishArguments
) -> ExitStatus:
    head = await publish.read_head(services.table)
    if not isinstance(head, result.Success):
        return _fail(session, f"nothing was published: {head.failure()}")
    chosen = await _choose_objects(session, services, arguments)
    if isinstance(chosen, ExitStatus):
        return chosen
    built = await _build_plan(session, services, head.unwrap(), chosen.objects, chosen.files)
    if not isinstance(built, result.Success):
        return _fail(session, f"nothing was published: {built.failure()}")
    planned = built.unwrap()
    if not session.is_json:
        _emit(session, planned, plan.render_plan(planned))
    if not planned.is_safe or not planned.changes:
        if session.is_json:
            _emit(session, PublishReport(plan=planned), [])
        return ExitStatus.DONE if planned.is_safe else ExitStatus.REFUSED
    publish_request = publish.PublishRequest(
        body=objects.encode_body(chosen.objects),
        base=planned.base if arguments.base is None else arguments.base,
        author=_find_author(session.settings),
        note=arguments.note,
        at=session.environment.read_time().isoformat(timespec="seconds"),
        publication=session.environment.draw_id(),
    )
    if not session.is_json:
        # If the command is interrupted, the entry can be found in the history by this id.
        session.environment.write(
            f"publishing as {publish_request.publication} by {publish_request.author}"
        )
    published = await publish.publish(services, publish_request, session.clock)
    if not session.is_json:
        _emit(session, published, [published.cause, *published.differences])
    lagging: list[report.NodeVersion] = []
    if published.state is publish.State.ACCEPTED and arguments.wait_s > 0:
        lagging = await _wait(session, published.version, arguments.wait_s)
    if session.is_json:
        _emit(session, PublishReport(plan=planned, published=published, lagging=lagging), [])
    return _find_exit_status(published.state, lagging)


def _find_exit_status(state: publish.State, lagging: list[report.NodeVersion]) -> ExitStatus:
    if state is publish.State.CONFLICT:
        return ExitStatus.REFUSED
    if state is publish.State.ACCEPTED and not lagging:
        return ExitStatus.DONE
    return ExitStatus.UNKNOWN


async def _choose_objects(
    session: Session, services: platform.Platform, arguments: PublishArguments
) -> load.Loaded | ExitStatus:
    if arguments.directories:
        loaded = _load(arguments.directories)
        if not isinstance(loaded, result.Success):
            return _report_check(session.environment, loaded.failure(), is_json=session.is_json)
        read_from_files: load.Loaded = loaded.unwrap()
        return read_from_files
    entry = await publish.read_version(services.table, arguments.from_version)
    if not isinstance(entry, result.Success):
        return _fail(session, f"nothing was published: {entry.failure()}")
    if entry.unwrap() is None:
        session.environment.write_error(f"there is no version {arguments.from_version}")
        return ExitStatus.REFUSED
    read = await publish.read_objects(services.objects, entry.unwrap())
    if not isinstance(read, result.Success):
        return _fail(session, f"nothing was published: {read.failure()}")
    return load.Loaded(objects=read.unwrap(), files={})


async def _wait(
    session: Session, version: identity.ConfigVersion, within_s: float
) -> list[report.NodeVersion]:
    if not session.settings.nodes:
        session.environment.write_error("the settings list no nodes; not waited for any")
        return []

    async def fetch() -> list[report.NodeVersion]:
        return list_versions(await _fetch_view(session))

    def show(done: int, total: int, lagging: list[report.NodeVersion]) -> None:
        names = ", ".join(node.node for node in lagging)
        waiting = f"; waiting for {names}" if names else ""
        if not session.is_json:
            session.environment.write(f"version {version}: {done} of {total} nodes{waiting}")

    lagging = await publish.wait_in_force(
        version=version, fetch=fetch, progress=show, clock=session.clock, within_s=within_s
    )
    if not session.is_json:
        for node in lagging:
            has = "version not known" if node.version is None else f"has version {node.version}"
            state = f"{has} ({node.cause})" if node.cause else has
            session.environment.write(f"not in force at {node.node}: {state}")
        if not lagging:
            session.environment.write(f"version {version} is in force everywhere")
    return lagging


async def _ask(
    session: Session, address: identity.Address, path: str
) -> result.Result[http.Reply, str]:
    request = http.Request(method="GET", path=path, body=b"")
    reply = await http.fetch(
        session.connect, address, request, timeout_s=session.settings.timeout_s
    )
    return reply.alt(lambda failure: f"no answer from {address}: {failure.value}")


def _decode(reply: http.Reply, kind: type[typing.Any]) -> result.Result[typing.Any, str]:
    if reply.status != 200:
        body = reply.body[:200].decode(errors="replace")
        return result.Failure(f"the answer has status {reply.status}: {body}")
    try:
        return result.Success(msgspec.json.decode(reply.body, type=kind))
    except (msgspec.MsgspecError, RecursionError) as error:
        return result.Failure(f"the answer cannot be read: {error}")


async def _fetch_view(session: Session) -> MeshView:
    """Fetch the status of every node concurrently."""
    replies: dict[identity.NodeId, result.Result[report.Status, str]] = {}

    async def fetch_status(node: identity.NodeId, address: identity.Address) -> None:
        reply = await _ask(session, address, "/status")
        replies[node] = reply.bind(lambda answer: _decode(answer, report.Status))

    async with trio.open_nursery() as nursery:
        for node, address in session.settings.nodes.items():
            nursery.start_soon(fetch_status, node, address)
    return MeshView(
        statuses=[
            replies[node].unwrap()
            for node in sorted(replies)
            if isinstance(replies[node], result.Success)
        ],
        silent=[
            report.NodeVersion(node=node, version=None, cause=replies[node].failure())
            for node in sorted(replies)
            if not isinstance(replies[node], result.Success)
        ],
    )


def find_authoritative_status(view: MeshView) -> report.Status | None:
    """Return the most authoritative status: that of the coordinator in the highest term.

    :param view: the statuses.
    """
    return max(
        view.statuses,
        key=lambda status: (status.term, status.role is report.Role.COORDINATOR),
        default=None,
    )


def list_targets(view: MeshView) -> list[check.Target] | None:
    """Return the targets in service, or ``None`` if no node answered.

    :param view: the statuses.
    """
    best = find_authoritative_status(view)
    if best is None:
        return None
    return [
        check.Target(node=target.node, zone=target.zone, service=target.service, slots=target.slots)
        for target in best.targets
        if target.is_up and not target.is_leaving
    ]


def _find_preview(view: MeshView) -> plan.PreviewFunction | None:
    """Return a preview function that simulates placement, if the owners of the shards are known."""
    best, targets = find_authoritative_status(view), list_targets(view)
    if best is None or not targets or not best.shards:
        return None
    owners = {shard.shard: shard.owner or None for shard in best.shards}
    return preview.build_preview(targets, owners)


def list_versions(view: MeshView) -> list[report.NodeVersion]:
    """Return the configuration version in force at every node.

    VMs are replaced at any time, so the settings may list nodes that no longer exist and lack new
    ones. The coordinator knows the members. A node that is not a member has no lease and serves no
    requests, so it does not matter if it does not answer.

    :param view: the statuses.
    """
    nodes = {
        status.node: report.NodeVersion(node=status.node, version=status.config_version)
        for status in view.statuses
    }
    best = find_authoritative_status(view)
    if best is None or best.role is not report.Role.COORDINATOR:
        nodes |= {node.node: node for node in view.silent}
    else:
        causes = {node.node: node.cause for node in view.silent}
        for target in best.targets:
            cause = causes.get(target.node, "not in the tool's settings")
            known = report.NodeVersion(node=target.node, version=target.config_version, cause=cause)
            nodes.setdefault(target.node, known)
    return sorted(nodes.values(), key=lambda node: node.node)


async def _status(session: Session, every_s: float | None) -> ExitStatus:
    while True:
        view = await _fetch_view(session)
        status_report = StatusReport(nodes=view.statuses, silent=view.silent)
        _emit(session, status_report, _render_view(view))
        if every_s is None:
            return ExitStatus.DONE if view.statuses else ExitStatus.UNKNOWN
        await timer.wait_until(session.clock, timer.now(session.clock) + every_s)


def _render_view(view: MeshView) -> list[str]:
    lines = [line for status in view.statuses for line in report.render_status(status)]
    lines += [f"node {node.node}: {node.cause}" for node in view.silent]
    best = find_authoritative_status(view)
    if best is None:
        cause = "no node answers" if view.silent else "the settings list no nodes"
        return [*lines, cause]
    versions = sorted({status.config_version for status in view.statuses})
    if len(versions) > 1:
        shown = ", ".join(str(version) for version in versions)
        lines.append(f"configuration versions differ: {shown}")
    return lines + report.render_cell(best)


async def _explain(session: Session, service: str, key: str) -> ExitStatus:
    path = f"/explain/{urllib.parse.quote(service, safe='')}/{urllib.parse.quote(key, safe='')}"
    causes = []
    for address in session.settings.nodes.values():
        reply = await _ask(session, address, path)
        if reply.map(lambda answer: answer.status == 404).value_or(False):
            cause = reply.unwrap().body[:200].decode(errors="replace")
            session.environment.write_error(f"node at {address} knows no such service: {cause}")
            return ExitStatus.REFUSED
        explanation = reply.bind(lambda answer: _decode(answer, report.Explanation))
        if isinstance(explanation, result.Success):
            _emit(session, explanation.unwrap(), report.render_explanation(explanation.unwrap()))
            return ExitStatus.DONE
        causes.append(explanation.failure())
    return _fail(session, "; ".join(causes) or "the settings list no nodes")


async def _history(session: Session, services: platform.Platform, last: int) -> ExitStatus:
    table = services.table
    head = await publish.read_head(table)
    history = await publish.read_history(table)
    for part in (head, history):
        if not isinstance(part, result.Success):
            return _fail(session, part.failure())
    in_force = publish.find_version(head.unwrap())
    entries = list(reversed(history.unwrap()))[: max(last, 0)]
    lines = [
        publish.render_entry(entry) + (" [in force]" if entry.version == in_force else "")
        for entry in entries
    ]
    _emit(
        session,
        HistoryReport(in_force=in_force, entries=entries),
        lines or ["no version has been published"],
    )
    return ExitStatus.DONE


if __name__ == "__main__":
    main()
