"""Stand-ins and process control for the script cases of the second review.

One asyncio program plays the platform's store, the backend servers, the
clients and the operator. The gateways are separate processes, started with the
command of deploy/system.toml. Everything listens on 127.0.0.1.
"""

import asyncio
import base64
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "programs" / "rattanweird" / "rattanweird"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds of the small deployments (SYSTEM.md).
CONTACT_S = 5.0
DRAIN_S = 3.0
CONFIG_APPLY_S = 3.0
GRACE_S = 8.0

BROKEN, HELD, NOT_RUN = 1, 0, 2

_held_ports = []


def free_port():
    """Returns a port that no other call of this run returns.

    The ports lie below the range from which the system takes the local ports
    of outgoing connections, so that none takes a port of a stopped process.
    """
    while True:
        port = 20000 + int.from_bytes(os.urandom(2), "big") % 12000
        if port in _held_ports:
            continue
        probe = socket.socket()
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        finally:
            probe.close()
        _held_ports.append(port)
        return port


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def write(self, *words):
        self._file.write(f"{self.now():8.3f} " + " ".join(map(str, words)) + "\n")
        self._file.flush()

    def say(self, *words):
        self.write(*words)
        print(f"{self.now():8.3f}", *words, flush=True)


async def read_message(reader):
    """Reads one HTTP/1.1 message; returns (first line, fields, body) or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    elif fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    return lines[0], fields, body


def response(status, body, fields=()):
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: read calls of PROTOCOL.md, history kept in full."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.items = {}
        self.events = []
        self.oldest = 0
        self.port = free_port()
        self._changed = asyncio.Condition()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port
        )

    async def put(self, key, value):
        """Acknowledges a write, and returns the time of that."""
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.items[key] = {
            "key": key,
            "value": text,
            "revision": self.revision,
            "created": self.revision,
            "lease": 0,
        }
        self.events.append(dict(self.items[key]))
        self.record.write("store put", key, "revision", self.revision)
        async with self._changed:
            self._changed.notify_all()
        return self.record.now()

    async def remove(self, key):
        self.revision += 1
        self.items.pop(key)
        self.events.append(
            {"key": key, "revision": self.revision, "tombstone": True}
        )
        self.record.say("store removed", key, "revision", self.revision)
        async with self._changed:
            self._changed.notify_all()
        return self.record.now()

    async def _serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                target = message[0].split(" ")[1]
                path, _, query = target.partition("?")
                args = dict(urllib.parse.parse_qsl(query))
                answer = await self._answer(path, args)
                await asyncio.sleep(0.004)
                status, value = answer
                writer.write(
                    response(
                        status,
                        json.dumps(value).encode(),
                        [("Content-Type", "application/json")],
                    )
                )
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, args):
        prefix = args.get("prefix", "")
        if path == "/api/kv-key":
            item = self.items.get(args.get("key", ""))
            return (200, {**item, "at": self.revision}) if item else (404, {})
        if path == "/api/kv-range":
            after = args.get("after", "")
            keys = sorted(
                k for k in self.items if k.startswith(prefix) and k > after
            )
            page = [self.items[k] for k in keys[:500]]
            return 200, {
                "items": page,
                "truncated": len(keys) > 500,
                "at": self.revision,
            }
        if path != "/api/kv-watch":
            return 404, {}
        after = int(args["after"])
        end = time.monotonic() + min(int(args["waitMs"]), 30000) / 1000
        while True:
            if after < self.oldest:
                return 410, {}
            events = [
                e
                for e in self.events
                if e["key"].startswith(prefix) and e["revision"] > after
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Runner:
    """A plain service that keeps to PROTOCOL.md."""

    def __init__(self, record, name, service, zone, slots=6, work_s=0.015):
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.port = free_port()
        self.born = int(time.time() * 1000)
        self.runs = []  # (time, request id)
        self.bodies = []  # (time, request id, body)
        self.begun = 0
        self._running = asyncio.Semaphore(slots)
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port
        )

    def entry(self, state="ready"):
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "1",
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self.born,
        }

    async def end(self):
        """Ends the runner: what it still runs is cut."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.record.say("runner", self.name, "ended")

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while message := await read_message(reader):
                await self._handle(message, writer)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, message, writer):
        _, fields, body = message
        request = fields.get("rattanweir-request-id", "")
        echo = [("Rattanweir-Request-Id", request)]
        if fields.get("rattanweir-expect-instance", self.name) != self.name:
            writer.write(response(421, b"", echo + [("Rattanweir-Not-Run", "1")]))
            return
        self.begun += 1
        try:
            if self.begun > 4 * self.slots:
                writer.write(
                    response(503, b"", echo + [("Rattanweir-Not-Run", "1")])
                )
                return
            async with self._running:
                self.runs.append((self.record.now(), request))
                self.bodies.append((self.record.now(), request, body))
                self.record.write("run", self.name, request)
                await asyncio.sleep(self.work_s)
            running = min(self.begun, self.slots)
            load = f"{running},{self.begun - running},{self.slots}"
            writer.write(
                response(
                    200,
                    f"done {request}".encode(),
                    echo
                    + [
                        ("Rattanweir-Response-Seal", f"seal-{request}"),
                        ("Rattanweir-Server-Load", load),
                    ],
                )
            )
        finally:
            self.begun -= 1


class Gateway:
    """One instance: its settings and its process."""

    def __init__(self, fleet, name, zone):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.ports = {
            p: free_port()
            for p in ("front", "ready", "control", "directory", "admin")
        }
        self.process = None
        self.started_at = None
        self.seeds = None  # The first three instances, unless set.
        self.settings = fleet.folder / f"{name}.yaml"
        self.log = open(fleet.folder / f"{name}.log", "ab")

    def address(self, part):
        return f"127.0.0.1:{self.ports[part]}"

    def write_settings(self):
        fleet = self.fleet
        zones = "".join(
            f'    - id: "{zone}"\n      region: "{region}"\n'
            for zone, region in fleet.zones.items()
        )
        known = self.seeds or [g.address("control") for g in fleet.gateways[:3]]
        seeds = ", ".join(f'"{seed}"' for seed in known)
        # The expansion of platform/settings.yaml.in.
        text = f"""instance: "{self.name}"
region: "{fleet.zones[self.zone]}"
availability_zone: "{self.zone}"
addresses:
  caller: "{self.address('front')}"
  peer: "{self.address('control')}"
  admin: "{self.address('admin')}"
fleet:
  store: "127.0.0.1:{fleet.store.port}"
  directory_address: "{self.address('directory')}"
  readiness_address: "{self.address('ready')}"
  seeds: [{seeds}]
  availability_zones:
{zones}  capacity: 0.25
  retry_ratio: 0.2
  retry_extra: 56
  retry_window_seconds: 10
  rate_tolerance_tokens: 190000
  change_deadline_milliseconds: 3000
shutdown_timeout_seconds: 8
log:
  level: info
  format: key_value
"""
        self.settings.write_text(text)

    async def start(self):
        self.write_settings()
        self.process = await asyncio.create_subprocess_exec(
            str(PROGRAM),
            "--settings",
            str(self.settings),
            stdout=self.log,
            stderr=self.log,
            cwd=ROOT,
        )
        self.started_at = self.fleet.record.now()
        self.fleet.record.say("started", self.name)

    async def kill(self):
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()
        self.fleet.record.say("killed", self.name)

    def signal(self, number):
        self.process.send_signal(number)
        self.fleet.record.say("signal", signal.Signals(number).name, self.name)

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def is_ready(self):
        try:
            status, _, _ = await call(
                self.ports["ready"], "GET", "/api/readiness", {}, b"", 1.0
            )
            return status == 200
        except (OSError, asyncio.TimeoutError, ConnectionError):
            return False


async def call(port, method, target, fields, body, timeout):
    """Sends one request on a new connection; returns (status, fields, body).

    Raises ConnectionError if the connection ends without a complete answer.
    """

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in fields.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            try:
                message = await read_message(reader)
            except asyncio.IncompleteReadError:
                message = None
            if message is None:
                raise ConnectionError("no complete answer")
            return int(message[0].split(" ")[1]), message[1], message[2]
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


class Fleet:
    """A small deployment in a temporary folder."""

    def __init__(self, case_folder, zones):
        self.record = Record(case_folder)
        self.zones = zones
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="rattanweir-review-"))
        self.store = Store(self.record)
        self.gateways = []
        self.runners = []
        self.answers = []  # (sent at, gateway, route, request id, status or text)
        self._count = 0

    def add_gateways(self, count, zone):
        for _ in range(count):
            number = len([g for g in self.gateways if g.zone == zone]) + 1
            self.gateways.append(Gateway(self, f"front-{zone}-{number}", zone))

    async def add_runner(self, name, service, zone, **options):
        runner = Runner(self.record, name, service, zone, **options)
        await runner.start()
        await self.store.put(f"servers/{name}", runner.entry())
        self.runners.append(runner)
        return runner

    async def start_gateways(self):
        for gateway in self.gateways:
            await gateway.start()

    async def wait_ready(self, gateways, timeout=15.0):
        end = time.monotonic() + timeout
        for gateway in gateways:
            while not await gateway.is_ready():
                if time.monotonic() > end:
                    raise RuntimeError(f"{gateway.name} did not become ready")
                await asyncio.sleep(0.1)

    async def send(self, gateway, route, method="POST", body=b"{}", deadline=5.0,
                   extra=None):
        """Sends one request, and records its end."""
        self._count += 1
        request = f"q{self._count:06d}"
        fields = {
            "Host": "desk.example",
            "Rattanweir-Request-Id": request,
            "Rattanweir-Deadline-Ms": str(int(deadline * 1000)),
            "Rattanweir-Credential": "key-one",
            **(extra or {}),
        }
        sent = self.record.now()
        try:
            status, _, text = await call(
                gateway.ports["front"], method, route, fields, body, deadline + 1
            )
            if status == 200 and text != f"done {request}".encode():
                status = f"200 with a foreign body {text!r}"
        except asyncio.TimeoutError:
            status = "no answer in time"
        except (ConnectionError, OSError) as error:
            status = f"connection ended: {type(error).__name__}"
        self.answers.append((sent, gateway.name, route, request, status))
        self.record.write("answer", gateway.name, route, request, status)
        return request, status

    async def load(self, gateway, routes, per_second, until):
        """Sends requests at a steady rate to a running gateway."""
        number = 0
        tasks = set()
        while self.record.now() < until():
            if gateway.is_running():
                method, route = routes[number % len(routes)]
                number += 1
                body = b"{}" if method == "POST" else b""
                task = asyncio.create_task(
                    self.send(gateway, route, method, body)
                )
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.sleep(1.0 / per_second)
        if tasks:
            await asyncio.wait(tasks)

    async def stop(self):
        for gateway in self.gateways:
            if gateway.is_running():
                gateway.process.kill()
                await gateway.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def desk_config(version=10, **changes):
    """A configuration with one service, two routes and one client account."""
    routes = [
        {
            "name": "reserve",
            "host": "desk.example",
            "prefix": "/reserve/",
            "service": "order-desk",
            "kind": "non_idempotent",
            "attempts": 1,
            "timeoutMs": 5000,
            "targetLatencyMs": 300,
            "priority": 2,
        },
        {
            "name": "status",
            "host": "desk.example",
            "prefix": "/status/",
            "service": "order-desk",
            "kind": "idempotent",
            "attempts": 2,
            "timeoutMs": 5000,
            "targetLatencyMs": 300,
            "priority": 2,
        },
    ]
    config = {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "order-desk",
                "healthPath": "/health",
                "maxConnections": 110,
                "coldStartS": 0,
                "coldPerS": 0,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 10000,
        },
        "tenants": [{"name": "workshop", "apiKeys": ["key-one"]}],
    }
    config.update(changes)
    return config


def main(case, folder):
    """Runs the case; its exit code says whether the rule was broken."""

    async def guarded():
        if not PROGRAM.exists():
            print("the build of the deploy file is missing")
            return NOT_RUN
        # A signal ends the case like an error, so that it ends its processes.
        task = asyncio.ensure_future(case(folder))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(task, 110)
        except (Exception, asyncio.CancelledError) as error:
            print("the case could not run:", repr(error))
            return NOT_RUN

    # Connections that a case has left open are dropped with the event loop.
    sys.unraisablehook = lambda _: None
    sys.exit(asyncio.run(guarded()))
