"""Stand-ins for the review cases: the platform's store, replicas, clients, and the router processes.

Only Python's standard library is used. All sockets are on loopback addresses with free ports.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Unusable(Exception):
    """The case could not run."""


# --- record ---------------------------------------------------------------------------------------

class Record:
    """Writes what was sent, answered and run, with the time since the start of the case."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} s  {text}\n")
        self.file.flush()


# --- ports and settings ---------------------------------------------------------------------------

def free_port():
    """Returns a port that is free for TCP and UDP, below those that the system gives to clients."""
    while True:
        port = random.randrange(18000, 32000)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(type=kind) as probe:
                    probe.bind(("127.0.0.1", port))
            return port
        except OSError:
            pass


def render(text, fields):
    """Fills in a template as DEPLOY.md describes: values, lists and conditional sections."""

    def find(name, scopes):
        for scope in reversed(scopes):
            value, found = scope, True
            if name != ".":
                for part in name.split("."):
                    if isinstance(value, dict) and part in value:
                        value = value[part]
                    elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                        value = value[int(part)]
                    else:
                        found = False
                        break
            if found:
                return value
        return None

    def fill(text, scopes, last=True):
        out, position = "", 0
        for match in iter(lambda: re.compile(r"\{\{([#^/]?)([^{}]*)\}\}").search(text, position), None):
            out += text[position:match.start()]
            mark, name = match.group(1), match.group(2).strip()
            position = match.end()
            if mark in ("#", "^"):
                end = text.index("{{/" + name + "}}", position)
                inner, position = text[position:end], end + len("{{/" + name + "}}")
                value = find(name, scopes)
                is_empty = value is None or value is False or value == []
                if mark == "^":
                    out += fill(inner, scopes) if is_empty else ""
                elif isinstance(value, list):
                    for index, entry in enumerate(value):
                        out += fill(inner, scopes + [entry], index + 1 == len(value))
                elif not is_empty:
                    out += fill(inner, scopes + [value])
            elif name == ",":
                out += "" if last else ","
            else:
                name, _, form = name.partition("|")
                value = find(name.strip(), scopes)
                if form == "json":
                    out += json.dumps(value)
                else:
                    out += "" if value is None else str(value)
        return out + text[position:]

    return fill(text, [fields])


# --- HTTP -----------------------------------------------------------------------------------------

class Head:
    def __init__(self, data):
        lines = data.decode("latin-1").split("\r\n")
        self.line = lines[0]
        self.headers = {}
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(":")
                self.headers[name.strip().lower()] = value.strip()

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    try:
        return Head(await reader.readuntil(b"\r\n\r\n"))
    except asyncio.IncompleteReadError:
        return None


async def read_chunks(reader):
    """Yields the chunks of a chunked body; ends after the last one."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return
        yield data


async def read_body(reader, head):
    if "chunked" in head.get("transfer-encoding", ""):
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(head.get("content-length", "0")))


# --- the platform's store -------------------------------------------------------------------------

class Store:
    """The metadata store of PROTOCOL.md, sound unless `mode` says otherwise."""

    def __init__(self):
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.last_lease = 10, 0
        self.changed = asyncio.Condition()
        self.mode = "sound"
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.expiry = asyncio.create_task(self.expire())

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    def _put(self, key, value, lease):
        self.revision += 1
        created = self.items[key]["created_revision"] if key in self.items else self.revision
        item = {"key": key, "value": value, "revision": self.revision,
                "created_revision": created, "lease": lease}
        self.items[key] = item
        self.history.append(item)

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append({"key": key, "revision": self.revision, "deleted": True})

    async def put(self, key, value):
        """Writes a key as the operator, a replica or another writer does."""
        self._put(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)
        await self.notify()

    async def remove(self, key):
        self._remove(key)
        await self.notify()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            ended = [lease for lease, (until, _) in self.leases.items() if until < time.monotonic()]
            for lease in ended:
                await self.end(lease)

    async def end(self, lease):
        if self.leases.pop(lease, None) is None:
            return
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self._remove(key)
        await self.notify()

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                if self.mode == "silent":
                    await asyncio.sleep(600)
                status, answer = await self.answer(head.line.split(" "), body)
                data = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, line, body):
        method, target = line[0], line[1]
        path, _, query = target.partition("?")
        query = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        unquote = lambda text: re.sub("%([0-9A-Fa-f]{2})", lambda m: chr(int(m[1], 16)), text)
        prefix = unquote(query.get("prefix", ""))
        if path == "/kv-key":
            item = self.items.get(unquote(query.get("key", "")))
            return (200, {**item, "at": self.revision}) if item else (404, {})
        if path == "/kv-range":
            after = unquote(query.get("after", ""))
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "has_more": len(keys) > 500, "at": self.revision}
        if path == "/kv-watch":
            after, until = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1e3
            while True:
                events = [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision}
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        if path == "/kv-lease":
            self.last_lease += 1
            ttl = json.loads(body)["ttl_ms"]
            self.leases[self.last_lease] = (time.monotonic() + ttl / 1e3, ttl)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path[len("/kv-keep/"):])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1e3, ttl)
            return 200, {"lease": lease, "ttl_ms": ttl}
        if path.startswith("/kv-lease-end/"):
            await self.end(int(path[len("/kv-lease-end/"):]))
            return 200, {}
        if path == "/kv-txn":
            call = json.loads(body)
            known = lambda key: self.items[key]["revision"] if key in self.items else 0
            if any(known(row["key"]) != row["revision"] for row in call.get("expect", [])):
                return 412, {"items": [self.items[row["key"]] for row in call["expect"]
                                       if row["key"] in self.items]}
            if any(put.get("lease") and put["lease"] not in self.leases for put in call.get("puts", [])):
                return 404, {}
            for put in call.get("puts", []):
                self._put(put["key"], put["value"], put.get("lease", 0))
            for key in call.get("remove", []):
                self._remove(key)
            await self.notify()
            return 200, {"revision": self.revision}
        return 404, {}


# --- replicas -------------------------------------------------------------------------------------

class Replica:
    """A replica of one service. `work` answers one request that runs."""

    def __init__(self, store, record, service, identifier, work, slots=48, has_born=True):
        self.store, self.record, self.service, self.id = store, record, service, identifier
        self.work, self.slots, self.has_born = work, slots, has_born
        self.port, self.server, self.state = None, None, "ready"
        self.sequence, self.runs, self.connections, self.tasks = 0, [], set(), set()
        self.heart = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port or 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.born, self.sequence = int(time.time() * 1e3), 0
        await self.beat()
        self.heart = asyncio.create_task(self.beats())

    def entry(self):
        entry = {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "a",
                 "version": "v1", "slots": self.slots, "state": self.state,
                 "cold_remaining_ms": 0, "sequence": self.sequence}
        return {**entry, "born": self.born} if self.has_born else entry

    async def beat(self):
        if self.store.mode == "sound":
            self.sequence += 1
            await self.store.put(f"servers/{self.id}", self.entry())

    async def beats(self):
        while True:
            await asyncio.sleep(1.2)
            await self.beat()

    async def crash(self):
        """Ends at once: nothing more is sent, all connections are reset."""
        self.heart.cancel()
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        self.tasks.add(asyncio.current_task())
        request = ""
        try:
            while (head := await read_head(reader)) is not None:
                request = head.get("x-request-id", "")
                if head.get("x-expect-instance", self.id) != self.id:
                    await read_body(reader, head)
                    writer.write(f"HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {self.id}\r\n"
                                 "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
                    continue
                await read_body(reader, head)
                self.runs.append(request)
                self.record(f"{self.id} (born {self.born}) runs {request}")
                await self.work(self, head, writer)
                await writer.drain()
                self.record(f"{self.id} ends its run of {request}")
        except (OSError, asyncio.IncompleteReadError) as error:
            self.record(f"{self.id} loses the connection of {request}: {type(error).__name__}")
        except asyncio.CancelledError:
            pass
        finally:
            self.connections.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.close()


def answer_head(head, status, lines):
    identifier = head.get("x-request-id", "")
    return (f"HTTP/1.1 {status} Status\r\nX-Request-Id: {identifier}\r\n"
            f"X-Server-Stamp: stamp.{identifier}\r\n" + "".join(f"{line}\r\n" for line in lines)
            + "\r\n").encode()


def plain(status, body):
    """Returns a function that makes an answer with a length to the request with the given head."""

    def data(head):
        return answer_head(head, status, [f"Content-Length: {len(body)}"]) + body
    return data


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


# --- routers --------------------------------------------------------------------------------------

class Router:
    def __init__(self, store, folder, name, seeds=(), bounds=None):
        self.callers, self.health = free_port(), free_port()
        self.peers, self.metrics = free_port(), free_port()
        self.name, self.folder = name, Path(folder)
        address = lambda port: f"127.0.0.1:{port}"
        fields = {
            "node_name": name, "zone": "a", "ip": "127.0.0.1",
            "listen": {"frontend": address(self.callers), "readiness": address(self.health),
                       "control_plane": address(self.peers)},
            "internal_ports": [self.metrics, self.metrics],
            "seeds": [address(port) for port in seeds],
            "limits": {"file_descriptors": 4200},
            "bounds": {"contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000,
                       "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 54,
                       "capacity_factor": 2, **(bounds or {})},
            "platform": {"address": address(store.port), "min_ttl_ms": 1000},
        }
        template = (ROOT / "deploy/router.settings.jsonc").read_text()
        self.settings = self.folder / f"{name}.jsonc"
        self.settings.write_text(render(template, fields))
        self.process = None

    async def start(self):
        role = re.search(r'^run = "(.*)"', (ROOT / "deploy/system.toml").read_text(), re.M)[1]
        program, *arguments = role.split(" ")
        log = open(self.folder / f"{self.name}.log", "ab")
        environment = {"PATH": os.environ["PATH"], "HOME": "/tmp",
                       "TEASELWORKS_BOOT": str(self.settings)}
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / program), *arguments, cwd=ROOT, env=environment, stdout=log, stderr=log)

    async def wait_until_ready(self, seconds=10):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.health)
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                if head and head.line.split(" ")[1] == "200":
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise Unusable(f"{self.name} is not ready")

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def route(name, kind, service, timeout_ms, **more):
    return {"name": name, "host": "h.example", "prefix": f"/{name}/", "kind": kind,
            "service": service, "timeout_ms": timeout_ms, "target_latency_ms": 600,
            "target_gap_ms": 400, "priority": 1, "max_attempts": 1, **more}


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "tenants": [],
            "services": [{"name": name, "health_path": "/health"} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


# --- running a case -------------------------------------------------------------------------------

def main(case):
    """Runs `case(record, folder)`, which returns whether the rule held and a sentence on it."""
    record = Record(Path(sys.argv[0]).resolve().parent / "record.txt")

    async def run(folder):
        # Tasks of the stand-ins are cancelled at the end, in the middle of what they do.
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.set_exception_handler(lambda *_: None)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(case(record, folder), 110)

    with tempfile.TemporaryDirectory() as folder:
        try:
            held, result = asyncio.run(run(folder))
        except (Unusable, OSError, asyncio.TimeoutError, asyncio.CancelledError) as error:
            record(f"the case could not run: {error!r}")
            print(f"could not run: {error!r}")
            sys.exit(2)
    record(f"result: {result}")
    print(("held: " if held else "BROKEN: ") + result)
    sys.exit(0 if held else 1)
