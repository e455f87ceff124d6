"""Runs daemons, targets and the store on loopback in one process."""

import collections.abc
import contextlib
import dataclasses
import functools

import h11
import msgspec
import trio

from ebonyvalve.platform import daemon, settings
from ebonyvalve.process import demo, http, network
from ebonyvalve.process import place as place_module
from ebonyvalve.standin import metadata, target

KEYED = "lookup"
ORDERS = "orders"
HOST = "shop.example"


@dataclasses.dataclass(kw_only=True)
class Mesh:
    """The running mesh.

    ``outbound`` and ``ready`` are the addresses of the nodes for callers and for readiness probes;
    ``state`` is the store's. ``scopes`` end the daemons as the end of their processes would. The
    lists are in the order of the nodes.
    """

    state: metadata.Metadata
    outbound: list[str]
    ready: list[str]
    targets: list[target.Target]
    daemons: list[daemon.Daemon] = dataclasses.field(default_factory=list)
    scopes: list[trio.CancelScope] = dataclasses.field(default_factory=list)


def find_ports(count: int) -> list[int]:
    return [network.split_address(address)[1] for address in demo.pick_addresses(count)]


def build_config(version: int, **changes: object) -> bytes:
    def route(prefix: str, backend: str, kind: str) -> dict[str, object]:
        spec = {
            "hostname": HOST,
            "prefix": prefix,
            "type": kind,
            "timeout_s": 2.0,
            "goal_s": 0.3,
            "priority": 1,
            "backend": backend,
            "attempts": 2,
            **changes,
        }
        return {"res_type": "routes", "metadata": {"name": f"r{prefix}"}, "spec": spec}

    def service(name: str, sharded: bool) -> dict[str, object]:
        spec = {
            "health_path": "/healthz",
            "max_conns": 130,
            "cold_s": 0.0,
            "cold_per_s": 20.0,
            "sharded": sharded,
            "warmup_s": 1.0,
        }
        return {"res_type": "services", "metadata": {"name": name}, "spec": spec}

    resources = [
        route("/lookup/", KEYED, "idempotent"),
        route("/orders/", ORDERS, "non_idempotent"),
        service(KEYED, True),
        service(ORDERS, False),
        {"res_type": "limits", "metadata": {}, "spec": {"idle_timeout_s": 15}},
    ]
    return msgspec.json.encode({"version": f"{version:08x}", "resources": resources})


def write_settings(number: int, service: str, ports: list[int], store: int) -> bytes:
    outbound, inbound, ready, control, app = ports
    return f"""
node = "n{number}"
zone = "z1"
backend = "{service}"
app_addr = "127.0.0.1:{app}"
heartbeat_s = 0.2
bounds = ["max_hold_s=10", "grace_s=6", "retry_ratio=0.2", "closed=true"]
unknown_field = 3
[listen]
outbound = "127.0.0.1:{outbound}"
inbound = "127.0.0.1:{inbound}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[platform]
address = "127.0.0.1:{store}"
""".encode()


@contextlib.asynccontextmanager
async def open_mesh(
    services: collections.abc.Sequence[str], *, work_s: float = 0.0
) -> collections.abc.AsyncIterator[Mesh]:
    """Run one node with its target for each entry of ``services``.

    :param services: the service of each target.
    :param work_s: seconds that a target works on a request.
    """
    state = metadata.Metadata(now=trio.current_time)
    metadata.put(state, "op", "config", build_config(1))
    store_port, *rest = find_ports(1 + 5 * len(services))
    mesh = Mesh(state=state, outbound=[], ready=[], targets=[])
    async with trio.open_nursery() as nursery:
        serve_store = functools.partial(http.serve, metadata.build_respond(state, ""))
        nursery.start_soon(network.listen_tcp, f"127.0.0.1:{store_port}", serve_store)
        for number, service in enumerate(services):
            ports = rest[5 * number : 5 * number + 5]
            place = settings.decode(write_settings(number, service, ports, store_port))
            served = target.Target(
                name=f"i-{number}",
                service=service,
                address=place.target_address,
                reports_address=place.reports_address,
                is_keyed=service == KEYED,
                work_s=work_s,
            )
            mesh.targets.append(served)
            mesh.outbound.append(place.callers_address)
            mesh.ready.append(place.ready_address)
            nursery.start_soon(
                network.listen_tcp, place.target_address, functools.partial(target.serve, served)
            )
            nursery.start_soon(target.report, served)
            mesh.scopes.append(trio.CancelScope())
            mesh.daemons.append(await nursery.start(run_daemon, place, mesh.scopes[-1]))
        yield mesh
        nursery.cancel_scope.cancel()


async def run_daemon(
    place: place_module.Place,
    scope: trio.CancelScope,
    *,
    task_status: trio.TaskStatus[daemon.Daemon] = trio.TASK_STATUS_IGNORED,
) -> None:
    with scope:
        await daemon.run(place, task_status=task_status)


@dataclasses.dataclass(kw_only=True)
class Client:
    """A keep-alive connection of a caller. ``sent`` counts its requests."""

    stream: trio.abc.Stream
    http: h11.Connection
    sent: int = 0


async def poll(check: collections.abc.Callable[[], collections.abc.Awaitable[bool]]) -> None:
    """Wait until a check returns true; fail after 400 attempts, 50 ms apart."""
    for _ in range(400):
        if await check():
            return
        await trio.sleep(0.05)
    raise AssertionError("the check never held")


async def open_client(address: str) -> Client:
    opened: list[trio.abc.Stream] = []

    async def connect() -> bool:
        with contextlib.suppress(OSError):
            opened.append(await network.connect_tcp(address))
        return bool(opened)

    await poll(connect)
    return Client(stream=opened[0], http=h11.Connection(h11.CLIENT))


async def ask(
    client: Client, method: str, path: str, *, body: bytes = b"", **headers: str
) -> tuple[int, dict[str, str], bytes]:
    """Send a request and return status, headers and body of the response.

    The connection is closed if the response asks for it.
    """
    client.sent += 1
    extra = {name.replace("_", "-"): value for name, value in headers.items()}
    all_headers = {
        "host": HOST,
        "content-length": str(len(body)),
        "x-attempt-id": f"{id(client):x}-{client.sent}",
        "x-deadline-ms": "2000",
        **extra,
    }
    head = h11.Request(method=method, target=path, headers=list(all_headers.items()))
    await http.send_message(client.stream, client.http, head, body)
    reply, content = await http.receive_message(client.stream, client.http)
    assert isinstance(reply, h11.Response)
    if client.http.our_state is h11.MUST_CLOSE:
        await client.stream.aclose()
    else:
        client.http.start_next_cycle()
    reply_headers = {name.decode(): value.decode() for name, value in reply.headers}
    return reply.status_code, reply_headers, content


async def wait_status(client: Client, status: int, path: str, **headers: str) -> None:
    """Repeat a GET request until it is answered with a status."""

    async def check() -> bool:
        return (await ask(client, "GET", path, **headers))[0] == status

    await poll(check)
