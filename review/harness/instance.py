"""Stand-in of an application instance: it reports to the node beside it and runs requests."""

import asyncio
import collections.abc
import json
import math
import secrets
import time

from review.harness import http1

Range = tuple[int, int]
REPORT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 4096
RELEASE_REPORT_S = 0.1
QUEUE = 36

Record = collections.abc.Callable[..., None]


class Instance:
    """One lifetime of an instance.

    ``spans`` are the key ranges that it holds, as first key, last key and fence, until
    ``held_until``. ``runs`` lists the requests that it has begun: time, attempt id and key.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        zone: str,
        address: tuple[str, int],
        reports_to: tuple[str, int],
        heartbeat_s: float,
        record: Record,
        slots: int = 6,
        work_s: float = 0.05,
        is_keyed: bool = False,
        cold_s: float = 0.0,
    ) -> None:
        self.name, self.service, self.zone = name, service, zone
        self.address, self.reports_to = address, reports_to
        self.heartbeat_s, self.record = heartbeat_s, record
        self.slots, self.work_s, self.is_keyed = slots, work_s, is_keyed
        self.born_ms = int(time.time() * 1000)
        self.cold_until = time.monotonic() + cold_s
        self.state = "ready"
        self.sequence = 0
        self.spans: list[tuple[int, int, int]] = []
        self.held_until = 0.0
        self.released: list[tuple[int, int, str]] = []
        self.gave: list[tuple[int, int, str]] = []
        self.runs: list[tuple[float, str, str | None]] = []
        self.acked_at = 0.0
        self.is_up = True
        # Paths of requests that crash the instance when it begins them, and what follows then.
        self.crashing_paths: dict[str, collections.abc.Callable[[], None]] = {}
        # The requests in a second above which the instance crashes while it is cold.
        self.max_cold_rate = math.inf
        self._running = asyncio.Semaphore(slots)
        self._in_flight = 0
        self._server: asyncio.Server | None = None
        self._reports: asyncio.Task[None] | None = None
        self._conns: set[asyncio.StreamWriter] = set()

    async def start(self, *, reports: bool = True) -> None:
        """Listen, and report at every heartbeat unless the case sends the reports itself."""
        self._server = await asyncio.start_server(self._serve, *self.address)
        if reports:
            self.start_reports()
        self.record("instance-up", instance=self.name, born=self.born_ms)

    def crash(self) -> None:
        """End at once: no report, and all connections are reset."""
        self.is_up = False
        self.stop_reports()
        assert self._server is not None
        self._server.close()
        for writer in self._conns:
            writer.transport.abort()
        self.record("instance-down", instance=self.name)

    def start_reports(self) -> None:
        """Report now and at every heartbeat from now on."""
        self._reports = asyncio.create_task(self._report_forever())

    def stop_reports(self) -> None:
        """Send no further reports."""
        if self._reports is not None:
            self._reports.cancel()

    def list_held(self) -> list[Range]:
        """Return the key ranges that the instance holds now."""
        if not self.is_up or time.monotonic() >= self.held_until:
            return []
        return [(first, last) for first, last, _ in self.spans]

    async def wait_acked(self) -> None:
        """Wait until the next report is acknowledged."""
        acked_at = self.acked_at
        while self.acked_at <= acked_at:
            await asyncio.sleep(0.01)

    async def _report_forever(self) -> None:
        while True:
            began_at = time.monotonic()
            await self.report()
            await asyncio.sleep(max(0.0, began_at + self.heartbeat_s - time.monotonic()))

    def build_report(self) -> bytes:
        """Return the body of the next report."""
        self.sequence += 1
        body = {
            "address": f"{self.address[0]}:{self.address[1]}",
            "born": self.born_ms,
            "info": {
                "backend": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "seq": self.sequence,
                "cold_left_s": round(max(0.0, self.cold_until - time.monotonic()), 3),
            },
        }
        if self.is_keyed:
            is_holding = time.monotonic() < self.held_until
            body["holds"] = [list(span) for span in self.spans] if is_holding else []
            body["released"] = [list(entry) for entry in self.released]
        return json.dumps(body).encode()

    async def report(self) -> bool:
        """Send a status report; return whether it was acknowledged within a second."""
        sent_at = time.monotonic()
        body = self.build_report()
        released = list(self.released)
        answer = await http1.fetch(
            *self.reports_to,
            f"PUT /instances/{self.name} HTTP/1.1",
            [("Host", "control"), ("Content-Type", "application/json")],
            body,
            timeout_s=REPORT_TIMEOUT_S,
        )
        status = answer.first_line.split(" ")[1] if answer is not None else "none"
        is_acked = (
            answer is not None and status.startswith("2") and len(answer.body) <= MAX_ANSWER_BYTES
        )
        self.record("report", instance=self.name, sequence=self.sequence, status=status)
        if not is_acked or answer is None:
            return False
        self.acked_at = time.monotonic()
        self.released = [entry for entry in self.released if entry not in released]
        self._apply_grant(json.loads(answer.body), sent_at)
        return True

    def _apply_grant(self, answer: dict, sent_at: float) -> None:
        if not self.is_keyed or "holds" not in answer:
            return
        before = self.list_held()
        self.spans = [(first, last, fence) for first, last, fence, _ in answer["holds"]]
        self.held_until = sent_at + answer.get("hold_s", 0.0)
        after = self.list_held()
        for first, last in before:
            for gap in _subtract((first, last), after):
                self.released.append((*gap, secrets.token_hex(8)))
                self.gave.append(self.released[-1])
        if before != after:
            self.record("holds", instance=self.name, ranges=after, hold_s=answer.get("hold_s"))
        if self.released:
            asyncio.get_running_loop().call_later(
                RELEASE_REPORT_S, lambda: asyncio.ensure_future(self.report())
            )

    async def leave_unannounced(self) -> bool:
        """Send ``DELETE`` without a report of draining first; return whether it was answered."""
        answer = await http1.fetch(
            *self.reports_to,
            f"DELETE /instances/{self.name} HTTP/1.1",
            [("Host", "control")],
            timeout_s=REPORT_TIMEOUT_S,
        )
        status = answer.first_line.split(" ")[1] if answer is not None else "none"
        self.record("delete", instance=self.name, status=status)
        return status.startswith("2")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._conns.add(writer)
        try:
            while (request := await http1.read_message(reader)) is not None:
                writer.write(await self._answer(request))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self._conns.discard(writer)
            writer.close()

    def _is_overloaded(self) -> bool:
        """Return whether a cold instance got more requests in the last second than it tolerates."""
        now = time.monotonic()
        if now >= self.cold_until:
            return False
        return sum(at > now - 1.0 for at, _, _ in self.runs) > self.max_cold_rate

    async def _answer(self, request: http1.Message) -> bytes:
        attempt = request.find("x-attempt-id")
        key = request.find("x-shard-key")
        load = [
            ("X-Instance-Id", self.name),
            ("X-Instance-Load", f"{self._in_flight},0,{self.slots}"),
        ]
        if attempt is None:
            return http1.encode("HTTP/1.1 200 OK", load)
        named = [("X-Attempt-Id", attempt), *load]
        expected = request.find("x-expect-instance")
        is_held = not self.is_keyed or any(a <= int(key or -1) <= b for a, b in self.list_held())
        if (expected is not None and expected != self.name) or not is_held:
            return http1.encode(
                "HTTP/1.1 421 Misdirected Request", [*named, ("X-Not-Executed", "1")]
            )
        if self._in_flight >= self.slots + QUEUE:
            return http1.encode("HTTP/1.1 503 Full", [*named, ("X-Not-Executed", "1")])
        self._in_flight += 1
        try:
            async with self._running:
                self.runs.append((time.monotonic(), attempt, key))
                self.record("run", instance=self.name, attempt=attempt, key=key)
                if on_crash := self.crashing_paths.get(request.first_line.split(" ")[1]):
                    self.crash()
                    on_crash()
                    raise ConnectionResetError
                if self._is_overloaded():
                    self.crash()
                    raise ConnectionResetError
                await asyncio.sleep(self.work_s)
        finally:
            self._in_flight -= 1
        seal = ("X-Response-Seal", f"{secrets.token_hex(2)}.07.5a2")
        return http1.encode("HTTP/1.1 200 OK", [*named, seal], f"{self.name}\n".encode())


def _subtract(whole: Range, parts: list[Range]) -> list[Range]:
    """Return the parts of a range that no other range covers."""
    gaps = []
    first, last = whole
    for start, end in sorted(parts):
        if end < first or start > last:
            continue
        if start > first:
            gaps.append((first, start - 1))
        first = max(first, end + 1)
    if first <= last:
        gaps.append((first, last))
    return gaps


def intersect(left: list[Range], right: list[Range]) -> list[Range]:
    """Return the ranges that are in both lists."""
    return [(max(a, c), min(b, d)) for a, b in left for c, d in right if max(a, c) <= min(b, d)]
