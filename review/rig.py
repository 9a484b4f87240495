"""Starts daemons with the commands of the deploy file before a store, engines and callers.

The store, the engines and the callers are stand-ins that run in this process, on loopback
addresses. A case adds its own behaviour to an engine, sends requests and checks what was seen.
"""

import asyncio
import copy
import json
import os
import random
import re
import shutil
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
MISSING = object()


def free_port():
    """A port that is free for TCP and UDP, outside the range from which connections get theirs."""
    for _ in range(200):
        port = random.randrange(20000, 32000)
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream, \
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
            try:
                stream.bind(("127.0.0.1", port))
                datagrams.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue
    raise RuntimeError("no free port")


def free_address():
    return "127.0.0.1:%d" % free_port()


def daemon_command():
    """The command of the only role of the deploy file, and the template of its settings."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        text = file.read()
    run = re.search(r'^run = "([^"]+)"', text, re.M).group(1).split()
    template = re.search(r'^template = "([^"]+)"', text, re.M).group(1)
    return [os.path.join(ROOT, run[0])] + run[1:], os.path.join(ROOT, template)


def render(template, fields):
    """Fills in the placeholders of a template of settings, as far as this project uses them."""

    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found.get(part, MISSING) if isinstance(found, dict) else MISSING
        if found is MISSING or found is None:
            return ""
        if isinstance(found, list):
            return ",".join(str(item) for item in found)
        return str(found)

    return re.sub(r"\{\{([A-Za-z.]+)\}\}", value, template)


async def read_head(reader):
    """Reads the head of a message: its first line and its headers, with names in lower case."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, text = line.partition(":")
            headers.append((name.strip().lower(), text.strip()))
    return lines[0], headers


def header(headers, name):
    return next((text for key, text in headers if key == name), None)


async def read_body(reader, headers):
    """Reads a body with a length, in chunks, or to the end of the connection."""
    if (header(headers, "transfer-encoding") or "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    length = header(headers, "content-length")
    if length is not None:
        return await reader.readexactly(int(length))
    return b""


def reset(writer):
    """Resets a connection."""
    raw = writer.get_extra_info("socket")
    try:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except (AttributeError, OSError):
        pass  # closed already
    writer.transport.abort()


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def add(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.began, text))
        self.file.flush()

    def close(self):
        self.file.close()


class Store:
    """The platform's store: objects by kind and name, with revisions and watches."""

    def __init__(self, record):
        self.record = record
        self.address = free_address()
        self.revision = 100
        self.era = 1
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        self.up = True
        self.server = None
        self.open = set()

    async def start(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    def put(self, kind, name, spec):
        kept = self.objects.setdefault(kind, {})
        before = kept.get(name)
        if before is not None and before["Spec"] == spec:
            return before
        self.revision += 1
        meta = {"Name": name, "Revision": self.revision, "Created": self.revision}
        if before is not None:
            meta["Created"] = before["Metadata"]["Created"]
        kept[name] = {"Metadata": meta, "Spec": spec, "Status": {}}
        self.note(kind, kept[name], False)
        return kept[name]

    def remove(self, kind, name):
        self.revision += 1
        gone = dict(self.objects[kind].pop(name))
        gone["Metadata"] = dict(gone["Metadata"], Revision=self.revision)
        self.note(kind, gone, True)
        return gone

    def copy(self):
        """What a copy of the store would hold now."""
        return self.revision, copy.deepcopy(self.objects), list(self.events)

    async def restore(self, taken, away_s):
        """Is away for a time and comes back from an earlier copy, in the next era."""
        self.record.add("store is away")
        self.server.close()
        for writer in list(self.open):
            reset(writer)
        await asyncio.sleep(away_s)
        self.revision, self.objects, self.events = taken
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()
        await self.start()
        self.record.add("store is back from a copy, era %d, revision %d" % (self.era, self.revision))

    def note(self, kind, found, removed):
        self.events.append((self.revision, kind, {"Object": found, "Removed": removed}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ", 2)
                status, answer = await self.handle(method, target, body)
                text = json.dumps(answer).encode()
                head = "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n" % status
                head += "Store-Era: %d\r\n" % self.era
                head += "Content-Length: %d\r\n\r\n" % len(text)
                writer.write(head.encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    async def handle(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        prefix = "/skylarkwind/objects/"
        if not url.path.startswith(prefix):
            return 404, {}
        parts = url.path[len(prefix):].split("/")
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        kept = self.objects.setdefault(kind, {})
        if method == "GET" and name is not None:
            return (200, kept[name]) if name in kept else (404, {})
        if method == "GET" and "Watch" in query:
            return await self.watch(kind, int(query["Watch"]), int(query.get("WaitMs", 0)))
        if method == "GET":
            after = query.get("after", "")
            items = [kept[key] for key in sorted(kept) if key > after]
            return 200, {"items": items, "HasMore": False, "At": self.revision}
        sent = json.loads(body) if body else {}
        meta = sent.get("Metadata", {})
        if method == "POST":
            if meta["Name"] in kept:
                return 409, kept[meta["Name"]]
            self.record.add("store created %s/%s %s" % (kind, meta["Name"], json.dumps(sent["Spec"])))
            return 200, self.put(kind, meta["Name"], sent["Spec"])
        wanted = meta.get("Revision", query.get("Revision"))
        if name not in kept:
            return 404, {}
        if wanted is not None and int(wanted) != kept[name]["Metadata"]["Revision"]:
            return 409, kept[name]
        if method == "DELETE":
            return 200, self.remove(kind, name)
        self.record.add("store replaced %s/%s %s" % (kind, name, json.dumps(sent["Spec"])))
        return 200, self.put(kind, name, sent["Spec"])

    async def watch(self, kind, since, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        if since > self.revision:
            return 410, {}
        while True:
            changed = self.changed
            events = [event for revision, of, event in self.events if of == kind and revision > since]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "At": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Request:
    """A request as an engine received it."""

    def __init__(self, line, headers, body):
        self.method, self.target, _ = line.split(" ", 2)
        self.headers = headers
        self.body = body
        self.id = header(headers, "x-skylarkwind-request-id")


class Engine:
    """A server of a service. `answer` writes the response to one request; the default one is that
    of a sound server. It returns False to end the connection."""

    def __init__(self, rig, name, service, answer=None, slots=8, stage=None, address=None):
        self.rig = rig
        self.name = name
        self.service = service
        self.slots = slots
        self.stage = stage
        self.address = address or free_address()
        self.answer = answer or self.sound_answer
        self.born = int(time.time() * 1000)
        self.ran = []
        self.open = set()
        self.server = None

    def entry(self, state="ready"):
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": "z-a",
            "Version": "v1",
            "Slots": self.slots,
            "State": state,
            "ColdMs": 0,
            "Seq": 1,
            "born": self.born,
        }
        if self.stage:
            entry["Stage"] = self.stage
            entry["Models"] = [{"Name": "m", "Version": 1, "Adapters": []}]
        return entry

    def register(self, state="ready"):
        self.rig.store.put("servers", self.name, self.entry(state))

    async def start(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    def identity(self, request):
        return "X-Skylarkwind-Request-Id: %s\r\nX-Skylarkwind-Response-Signature: s.%s.%s\r\n" % (
            request.id, self.name, request.id)

    async def sound_answer(self, request, writer):
        body = ("answer to %s" % request.id).encode()
        writer.write(("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n" % (
            self.identity(request), len(body))).encode() + body)
        await writer.drain()
        return True

    async def serve(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                request = Request(line, headers, await read_body(reader, headers))
                if request.target == "/health":
                    writer.write(("HTTP/1.1 200 OK\r\nX-Skylarkwind-Instance-Id: %s\r\n"
                                  "Content-Length: 0\r\n\r\n" % self.name).encode())
                    continue
                expected = header(headers, "x-skylarkwind-expect-instance")
                if expected not in (None, self.name):
                    writer.write(("HTTP/1.1 421 Misdirected Request\r\nX-Skylarkwind-Instance-Id: %s\r\n"
                                  "Content-Length: 0\r\n\r\n" % self.name).encode())
                    continue
                self.ran.append(request)
                self.rig.record.add("engine %s runs %s %s id=%s body=%d" % (
                    self.name, request.method, request.target, request.id, len(request.body)))
                if not await self.answer(request, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()


class Answer:
    """What a caller received for a request."""

    def __init__(self):
        self.status = None
        self.headers = []
        self.body = b""
        self.complete = False
        self.error = None

    def signed(self):
        return header(self.headers, "x-skylarkwind-response-signature") is not None


class Daemon:
    def __init__(self, rig, number):
        self.rig = rig
        self.name = "edge-%d" % number
        self.front = free_address()
        self.ready = free_address()
        self.control = free_address()
        self.process = None

    def start(self):
        command, template = daemon_command()
        with open(template, encoding="utf-8") as file:
            text = file.read()
        fields = {
            "Node": self.name,
            "Zone": "z-a",
            "Listen": {"Front": self.front, "Ready": self.ready, "Control": self.control},
            "Provider": {"Address": self.rig.store.address},
            "Seeds": [daemon.control for daemon in self.rig.daemons],
            "Limits": {"CpuShare": 0.25, "LinkMbps": 1000.0},
            "Bounds": self.rig.bounds,
            "Cloud": self.rig.cloud,
        }
        path = os.path.join(self.rig.folder, self.name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(render(text, fields))
        with open(os.path.join(self.rig.folder, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={"PATH": os.environ.get("PATH", ""), "SKYLARKWIND_SETTINGS": path},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Rig:
    """A small deployment. `run` starts it, calls the case and ends all that was started."""

    def __init__(self, record, daemons=1):
        self.record = Record(record)
        self.folder = tempfile.mkdtemp(prefix="skylarkwind-review-")
        self.store = None
        self.bounds = {
            "ConfigApplyMs": 2000,
            "DrainMs": 2000,
            "GraceS": 8,
            "LeaseMs": 3000,
            "RetryBudgetRatio": 0.2,
            "BudgetMinRetries": 56,
            "BudgetWindowS": 10,
        }
        self.cloud = {}
        self.engines = []
        self.count = daemons
        self.daemons = []

    async def engine(self, *arguments, **options):
        engine = Engine(self, *arguments, **options)
        await engine.start()
        engine.register()
        self.engines.append(engine)
        return engine

    def configure(self, routes, services, version=7, **more):
        limits = {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        }
        spec = {"Version": version, "Routes": routes, "Services": services, "Limits": limits}
        spec.update(more)
        self.store.put("config", "main", spec)

    async def start_daemons(self):
        self.daemons = [Daemon(self, number) for number in range(1, self.count + 1)]
        for daemon in self.daemons:
            daemon.start()
        until = time.monotonic() + 15
        for daemon in self.daemons:
            while not await self.is_ready(daemon):
                if time.monotonic() > until:
                    raise RuntimeError("%s is not ready" % daemon.name)
                await asyncio.sleep(0.1)
        self.record.add("daemons ready")

    async def is_ready(self, daemon):
        try:
            reader, writer = await asyncio.open_connection(*daemon.ready.split(":"))
            writer.write(b"GET /skylarkwind/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in line
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    async def read_answer(self, reader, limit=12.0, on_bytes=None):
        answer = Answer()
        try:
            await asyncio.wait_for(self._read_into(answer, reader, on_bytes), limit)
        except asyncio.TimeoutError:
            answer.error = "no whole answer in %.1f s" % limit
        except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
            answer.error = "broken off: %s" % type(error).__name__
        return answer

    async def _read_into(self, answer, reader, on_bytes):
        line, answer.headers = await read_head(reader)
        answer.status = int(line.split(" ")[1])
        if (header(answer.headers, "transfer-encoding") or "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                part = await reader.readexactly(size + 2)
                if size == 0:
                    answer.complete = True
                    return
                answer.body += part[:-2]
                if on_bytes:
                    on_bytes(part[:-2])
        answer.body = await read_body(reader, answer.headers)
        answer.complete = True

    async def send(self, daemon, method, path, request_id, body=b"", headers=(), limit=12.0,
                   deadline_ms=1500):
        """Sends one request on a connection of its own."""
        lines = ["%s %s HTTP/1.1" % (method, path), "Host: a.example",
                 "X-Skylarkwind-Request-Id: %s" % request_id,
                 "X-Skylarkwind-Deadline-Ms: %d" % deadline_ms] + list(headers)
        if body or method == "POST":
            lines.append("Content-Length: %d" % len(body))
        self.record.add("caller sends %s %s id=%s" % (method, path, request_id))
        reader, writer = await asyncio.open_connection(*daemon.front.split(":"))
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        answer = await self.read_answer(reader, limit)
        writer.close()
        self.note(request_id, answer)
        return answer

    def note(self, request_id, answer):
        self.record.add("caller got id=%s status=%s complete=%s signed=%s error=%s body=%r" % (
            request_id, answer.status, answer.complete, answer.signed(), answer.error,
            answer.body[-160:]))

    def close(self, keep_logs=False):
        for daemon in self.daemons:
            daemon.kill()
        self.record.close()
        if keep_logs or os.environ.get("KEEP"):
            print("logs in", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def plain_route(name, prefix, kind, service, **more):
    route = {"Name": name, "Host": "a.example", "PathPrefix": prefix, "Kind": kind,
             "TimeoutMs": 3000, "TargetLatencyMs": 300, "Priority": 1, "Service": service,
             "MaxAttempts": 1 if kind == "non_idempotent" else 2}
    route.update(more)
    return route


def plain_service(name):
    return {"Name": name, "HealthCheck": "/health", "MaxConnections": 110}


def main(case, trouble, record, daemons=1):
    """Runs a case: a coroutine that gets the rig and whether there is a disruption, and returns a
    list of what broke the rule. Writes what was seen to the file `record`."""

    async def run():
        rig = Rig(record, daemons)
        try:
            rig.store = Store(rig.record)
            await rig.store.start()
            broken = await asyncio.wait_for(case(rig, trouble), 110)
            for text in broken:
                rig.record.add("BROKEN " + text)
                print("broken:", text)
            if not broken:
                rig.record.add("the rule held")
                print("the rule held")
            return 1 if broken else 0
        except Exception as error:  # the case could not run
            rig.record.add("could not run: %r" % error)
            print("could not run: %r" % error)
            return 2
        finally:
            rig.close()

    sys.exit(asyncio.run(run()))
