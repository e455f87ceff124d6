"""Stand-in of the platform's metadata store: rows, transactions and feeds."""

import asyncio
import base64
import collections.abc
import json
import time
import urllib.parse

from review.harness import http1

TRANSACTION_S = 0.004
PAGE_ROWS = 500

RowName = tuple[str, str, str]


class Store:
    """The rows of all tables, and the log of changes since the start."""

    def __init__(self) -> None:
        self.rows: dict[RowName, tuple[str | None, int]] = {}
        self.log: list[tuple[int, RowName]] = []
        self.version = 0
        self.changed = asyncio.Event()
        # While set, every call is refused with 503, which says that nothing was done.
        self.is_down = False
        # Decides by machine and transaction whether it is lost: if it returns an event, the
        # transaction is done when that is set, and its connection delivers nothing further.
        self.find_loss: collections.abc.Callable[[str, dict], asyncio.Event | None] = (
            lambda _machine, _transaction: None
        )

    def put(self, table: str, key: str, value: object | None) -> int:
        """Write a row as the operator does; return its version, which acknowledges it."""
        self.version += 1
        encoded = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
        self._write((table, "", key), encoded)
        self._notify()
        return self.version

    def set_down(self, is_down: bool) -> None:
        """Begin or end an outage; pending calls are refused."""
        self.is_down = is_down
        self._notify()

    def list_table(self, table: str) -> dict[str, str]:
        """Return the encoded values of a table by key."""
        return {
            name[2]: value
            for name, (value, _) in self.rows.items()
            if name[0] == table and value is not None
        }

    async def serve(
        self, machine: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection of a machine until it ends."""
        try:
            while (request := await http1.read_message(reader)) is not None:
                loss = self._find_loss(machine, request)
                if loss is not None:
                    asyncio.create_task(self._transact_late(json.loads(request.body), loss))
                    await reader.read()
                    return
                status, body = await self._answer(request)
                headers = [("Content-Type", "application/json")]
                writer.write(
                    http1.encode(f"HTTP/1.1 {status} X", headers, json.dumps(body).encode())
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _find_loss(self, machine: str, request: http1.Message) -> asyncio.Event | None:
        is_write = request.first_line.startswith("POST /rows-tx ")
        return self.find_loss(machine, json.loads(request.body)) if is_write else None

    async def _transact_late(self, transaction: dict, done_at: asyncio.Event) -> None:
        await done_at.wait()
        self._transact(transaction)

    async def _answer(self, request: http1.Message) -> tuple[int, dict[str, object]]:
        if self.is_down:
            return 503, {}
        method, target, _ = request.first_line.split(" ")
        path, _, query = target.partition("?")
        parameters = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if (method, path) == ("POST", "/rows-tx"):
            await asyncio.sleep(TRANSACTION_S)
            return self._transact(json.loads(request.body))
        if (method, path) == ("GET", "/rows-get"):
            return 200, self._get(parameters)
        if (method, path) == ("GET", "/rows-feed"):
            changes = await self._feed(parameters)
            return (503, {}) if self.is_down else (200, changes)
        return 404, {}

    def _transact(self, transaction: dict[str, list[dict[str, object]]]) -> tuple[int, dict]:
        conditions = transaction.get("precondition", [])
        if any(self._read_version(_name(entry)) != entry["ver"] for entry in conditions):
            return 412, self._reply([_name(entry) for entry in conditions])
        self.version += 1
        for entry in transaction.get("puts", []):
            self._write(_name(entry), str(entry["value"]))
        for entry in transaction.get("remove", []):
            self._write(_name(entry), None)
        self._notify()
        return 200, self._reply([])

    def _get(self, parameters: dict[str, str]) -> dict[str, object]:
        start = parameters.get("from", "")
        names = sorted(
            name
            for name, (value, _) in self.rows.items()
            if name[:2] == (parameters["table"], parameters.get("part", ""))
            and value is not None
            and name[2] >= start
        )
        reply = self._reply(names[:PAGE_ROWS])
        reply["has_more"] = len(names) > PAGE_ROWS
        return reply

    async def _feed(self, parameters: dict[str, str]) -> dict[str, object]:
        table, after = parameters["table"], int(parameters["after"])
        ends_at = time.monotonic() + int(parameters.get("wait_ms", 0)) / 1000
        while not (names := self._list_changed(table, after)) and not self.is_down:
            try:
                async with asyncio.timeout(max(0.0, ends_at - time.monotonic())):
                    await self.changed.wait()
            except TimeoutError:
                break
        return self._reply(names)

    def _list_changed(self, table: str, after: int) -> list[RowName]:
        latest = {name: ver for ver, name in self.log if ver > after and name[0] == table}
        return sorted(latest, key=lambda name: (latest[name], name))

    def _read_version(self, name: RowName) -> int:
        value, version = self.rows.get(name, (None, 0))
        return 0 if value is None else version

    def _write(self, name: RowName, value: str | None) -> None:
        self.rows[name] = (value, self.version)
        self.log.append((self.version, name))

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _reply(self, names: list[RowName]) -> dict[str, object]:
        rows = []
        for name in names:
            value, version = self.rows.get(name, (None, 0))
            row: dict[str, object] = {
                "table": name[0],
                "part": name[1],
                "key": name[2],
                "ver": version,
            }
            if value is not None:
                row["value"] = value
            elif version:
                row["removed"] = True
            rows.append(row)
        return {"rows": rows, "ver": self.version, "now_s": round(time.monotonic(), 4)}


def _name(entry: dict[str, object]) -> RowName:
    return str(entry["table"]), str(entry.get("part", "")), str(entry["key"])
