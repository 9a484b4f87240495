"""Stand-ins for the review's third part: store, engines and callers.

They follow the platform's pages. All run in one event loop; the daemons are processes of their own.
"""
import asyncio
import json
import os
import re
import shutil
import socket
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DAEMON = os.path.join(ROOT, "target", "bin", "skylarkwindd")
TEMPLATE = os.path.join(ROOT, "deploy", "settings.yaml")
# Those of the sheets, as far as the template of the settings uses them.
BOUNDS = {"ConfigApplyMs": 2000, "DrainMs": 2000, "GraceS": 8, "LeaseMs": 3000, "ReportWindowS": "",
          "RetryBudgetRatio": 0.2, "BudgetMinRetries": 56, "BudgetWindowS": 10}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of record.txt, with seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body, connection):
        self.method = method
        self.target = target
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query))
        self.headers = headers
        self.body = body
        self.connection = connection

    def header(self, name):
        return self.headers.get(name.lower(), "")


class Connection:
    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.closed = False

    def raw(self, data):
        if not self.closed and not self.writer.is_closing():
            self.writer.write(data)

    def send(self, status, body=b"", headers=()):
        if isinstance(body, str):
            body = body.encode()
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        self.raw(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    def begin_chunks(self, status, headers=()):
        lines = [f"HTTP/1.1 {status} X", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in headers]
        self.raw(("\r\n".join(lines) + "\r\n\r\n").encode())

    def chunk(self, data):
        if isinstance(data, str):
            data = data.encode()
        self.raw(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    def end_chunks(self):
        self.raw(b"0\r\n\r\n")

    def close(self):
        self.closed = True
        self.writer.close()


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Server:
    """An HTTP/1.1 server that handles one request at a time on each connection."""

    def __init__(self, address="127.0.0.1"):
        self.address = address
        self.port = 0
        self.server = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, self.address, port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def at(self):
        return f"{self.address}:{self.port}"

    async def _serve(self, reader, writer):
        connection = Connection(reader, writer)
        try:
            while not connection.closed:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                await self.handle(Request(method, target, headers, body, connection))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            connection.closed = True
            writer.close()

    async def handle(self, request):
        raise NotImplementedError


class Store(Server):
    """The platform's store of versioned objects."""

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.objects = {}  # (kind, name) -> object
        self.history = []  # (revision, kind, object, removed)
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        known = self.objects.get((kind, name))
        if known is not None and known["Spec"] == spec:
            # A PUT that changes nothing neither increases the revision nor produces an event.
            return known
        self.revision += 1
        made = {"Metadata": {"Name": name, "Revision": self.revision}, "Spec": spec}
        self.objects[(kind, name)] = made
        self._note(kind, made, False)
        return made

    def remove(self, kind, name):
        known = self.objects.pop((kind, name))
        self.revision += 1
        known = {"Metadata": dict(known["Metadata"], Revision=self.revision), "Spec": known["Spec"]}
        self._note(kind, known, True)
        return known

    def _note(self, kind, made, removed):
        self.history.append((self.revision, kind, made, removed))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request):
        reply = request.connection.send
        prefix = "/skylarkwind/objects/"
        if not request.path.startswith(prefix):
            reply(404, "{}")
            return
        kind, _, name = urllib.parse.unquote(request.path[len(prefix):]).partition("/")
        if request.method == "GET" and "Watch" in request.query:
            await self._watch(kind, request)
            return
        await asyncio.sleep(0.004)
        if request.method == "GET" and not name:
            items = [o for (k, n), o in sorted(self.objects.items())
                     if k == kind and n > request.query.get("after", "")]
            reply(200, json.dumps({"items": items[:500], "HasMore": len(items) > 500,
                                   "At": self.revision}))
            return
        known = self.objects.get((kind, name))
        if request.method == "GET":
            reply(200 if known else 404, json.dumps(known or {}))
            return
        body = json.loads(request.body or b"{}")
        meta = body.get("Metadata", {})
        if request.method == "POST":
            name = meta["Name"]
            known = self.objects.get((kind, name))
            if known:
                reply(409, json.dumps(known))
            else:
                reply(200, json.dumps(self.put(kind, name, body.get("Spec"))))
            return
        expected = meta.get("Revision", int(request.query.get("Revision", "0")))
        if known is None:
            reply(404, "{}")
        elif expected and expected != known["Metadata"]["Revision"]:
            reply(409, json.dumps(known))
        elif request.method == "DELETE":
            reply(200, json.dumps(self.remove(kind, name)))
        else:
            reply(200, json.dumps(self.put(kind, name, body.get("Spec"))))

    async def _watch(self, kind, request):
        since = int(request.query["Watch"])
        until = time.monotonic() + int(request.query.get("WaitMs", "0")) / 1000
        while True:
            changed = self.changed
            events = [{"Object": made, "Removed": removed}
                      for at, k, made, removed in self.history if k == kind and at > since]
            left = until - time.monotonic()
            if events or left <= 0:
                request.connection.send(
                    200, json.dumps({"events": events, "At": self.revision}))
                return
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Engine(Server):
    """A backend server of a plain service; `behave(engine, request)` answers its requests."""

    def __init__(self, record, store, name, service, zone, slots, behave):
        super().__init__()
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.behave = behave
        self.born = int(time.time() * 1000)

    def list(self):
        self.store.put("servers", self.name, {
            "Service": self.service, "Address": self.at, "Zone": self.zone, "Version": 1,
            "Slots": self.slots, "State": "ready", "ColdMs": 0, "Seq": 1, "born": self.born})

    def signed(self, request):
        return [("X-Skylarkwind-Request-Id", request.header("X-Skylarkwind-Request-Id")),
                ("X-Skylarkwind-Engine-Load", f"1,0,{self.slots}"),
                ("X-Skylarkwind-Response-Signature", "s." + self.name)]

    async def handle(self, request):
        expected = request.header("X-Skylarkwind-Expect-Instance")
        if expected and expected != self.name:
            request.connection.send(421, "", [("X-Skylarkwind-Instance-Id", self.name)])
            return
        request_id = request.header("X-Skylarkwind-Request-Id")
        self.record(f"engine {self.name}: runs {request_id} {request.method} {request.target}")
        await self.behave(self, request)


class Daemon:
    """A process of the deploy file, with settings rendered from its template."""

    def __init__(self, record, folder, name, zone, store, seeds, ip):
        self.record = record
        self.name = name
        self.zone = zone
        self.ip = ip
        self.front, self.ready, self.control = (f"{ip}:{port}" for port in free_ports(ip, 3))
        self.store = store
        self.seeds = seeds
        self.settings = os.path.join(folder, name + ".yaml")
        self.log_path = os.path.join(folder, name + ".log")
        self.process = None

    def values(self):
        return {"Node": self.name, "Zone": self.zone,
                "Listen": {"Front": self.front, "Ready": self.ready, "Control": self.control},
                "Provider": {"Address": self.store}, "Seeds": ",".join(self.seeds),
                "Limits": {"CpuShare": 0.25, "LinkMbps": 1000.0}, "Bounds": BOUNDS,
                "Cloud": {"Address": "", "DutiesPerS": ""}}

    async def start(self):
        values = self.values()

        def fill(match):
            value = values
            for part in match.group(1).split("."):
                value = value[part]
            return str(value)

        with open(TEMPLATE, encoding="utf-8") as template:
            text = re.sub(r"{{([A-Za-z.]+)}}", fill, template.read())
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(text)
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                DAEMON, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/"),
                     "SKYLARKWIND_SETTINGS": self.settings})
        self.record(f"daemon {self.name}: started")

    async def is_ready(self):
        try:
            host, port = self.ready.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /skylarkwind/ready HTTP/1.1\r\nHost: r\r\n\r\n")
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in line + " "
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, limit=15):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready")

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            try:
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()


class CannotRun(Exception):
    """The case could not be played."""


def free_ports(ip, count):
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((ip, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


class Answer:
    def __init__(self):
        self.status = 0  # 0: the connection ended without a whole head
        self.headers = {}
        self.body = b""
        self.whole = False


async def ask(address, method, target, host, headers, body=b"", limit=10.0, connection=None):
    """Sends a request and reads its whole answer; `connection` keeps a channel open."""
    answer = Answer()
    reader, writer = connection or await asyncio.open_connection(*split(address))
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    try:
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await asyncio.wait_for(_read_answer(reader, answer), limit)
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError):
        pass
    if connection is None:
        writer.close()
    return answer


async def _read_answer(reader, answer):
    line, answer.headers = await read_head(reader)
    status = int(line.split(" ")[1])
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                break
            answer.status = status
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
    else:
        answer.status = status
        answer.body = await reader.readexactly(int(answer.headers.get("content-length", "0")))
    answer.status = status
    answer.whole = True


def split(address):
    host, port = address.split(":")
    return host, int(port)


async def _bounded(case, record, temporary):
    # Connections that are open at the end are cancelled, which is no error.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    return await asyncio.wait_for(case(record, temporary), 110)


def play(record_path, case):
    """Runs `case(record, temporary_folder)`, which returns the broken rules, and exits."""
    record = Record(record_path)
    temporary = tempfile.mkdtemp(prefix="skylarkwind-review-")
    code = 2
    try:
        if not os.path.exists(DAEMON):
            raise CannotRun("the build of the deploy file is missing")
        broken = asyncio.run(_bounded(case, record, temporary))
        for text in broken:
            record("BROKEN " + text)
        code = 1 if broken else 0
        record("the rule was broken" if broken else "the rule held")
    except Exception as error:  # pylint: disable=broad-except
        # Also a fault of the script itself, which must not pass for a broken rule.
        record(f"could not run: {error!r}")
    finally:
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(temporary, ignore_errors=True)
    raise SystemExit(code)

