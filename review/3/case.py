"""Case 3: engines spoil the status line of a few answers; callers must not get such bytes."""

import os
import random
import re
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import deployment as d  # noqa: E402

# Of the site gepm-encargos.
BOUNDS = {
    "ConfigApplyMs": 2000,
    "DrainMs": 2000,
    "GraceS": 8,
    "LeaseMs": 3000,
    "RetryBudgetRatio": 0.2,
    "BudgetMinRetries": 52,
    "BudgetWindowS": 10,
}
ENGINES = 4
FAULTY = 2  # half of the engines: `garble`, share (.5)
SPOILT = 0.02  # of their answers: `garble`, x (.02)
FAULT_FROM_S, FAULT_TO_S = 3.0, 23.0
END_S = 26.0
CALLERS = 8
PAUSE_S = 0.1  # of a caller between two requests; about 70 a second in all
TIMEOUT_MS = 1500  # of the routes, and the time limit of the requests
LATE_S = 0.5

# An answer of 200, its status line cut short or garbled: the head ends early, the number is no
# status, or the status is one that no final answer has.
SPOILT_LINES = ["HTTP/1.1 20 OK", "HTTP/1.1 0 OK", "HTTP/1.1 100 OK"]

LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 4194304,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}


def route(name, kind):
    return {
        "Name": name,
        "Host": d.HOST,
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": TIMEOUT_MS,
        "TargetLatencyMs": 300,
        "Priority": 2,
        "MaxAttempts": 2 if kind == "idempotent" else 1,
        "Service": "mesa",
    }


CONFIGURATION = {
    "Version": 4,
    "Routes": [route("status", "idempotent"), route("deposit", "non_idempotent")],
    "Services": [{"Name": "mesa", "HealthCheck": "/health", "MaxConnections": 96}],
    "Limits": LIMITS,
}


def read_head(connection, buffer):
    """The next head with its line end, and what follows; empty at the end of the connection."""
    while b"\r\n\r\n" not in buffer:
        data = connection.recv(65536)
        if not data:
            return b"", buffer
        buffer += data
    head, rest = buffer.split(b"\r\n\r\n", 1)
    return head, rest


def header(head, name):
    found = re.search(rb"(?im)^" + re.escape(name.encode()) + rb":\s*(.*?)\s*$", head)
    return found.group(1).decode() if found else ""


class Engine:
    """A plain server that keeps its channels and spoils some status lines while it is faulty."""

    def __init__(self, identity, faulty, record, seed):
        self.identity = identity
        self.faulty = faulty
        self.record = record
        self.random = random.Random(seed)
        self.lock = threading.Lock()
        self.spoilt = {}
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(128)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def status_line(self, request):
        with self.lock:
            in_time = FAULT_FROM_S <= self.record.now() < FAULT_TO_S
            if not (self.faulty and in_time and self.random.random() < SPOILT):
                return "HTTP/1.1 200 OK"
            line = self.random.choice(SPOILT_LINES)
            self.spoilt[request] = line
            return line

    def serve(self, connection):
        buffer = b""
        try:
            while True:
                head, buffer = read_head(connection, buffer)
                if not head:
                    break
                request = header(head, "X-Skylarkwind-Request-Id")
                expected = header(head, "X-Skylarkwind-Expect-Instance")
                if expected not in ("", self.identity):
                    line, body = "HTTP/1.1 421 Misdirected Request", ""
                else:
                    time.sleep(0.02)
                    line, body = self.status_line(request), f"done {request}"
                    self.record.add(f"engine {self.identity} ran {request} answers '{line}'")
                connection.sendall(
                    (
                        f"{line}\r\nX-Skylarkwind-Request-Id: {request}\r\n"
                        f"X-Skylarkwind-Response-Signature: {self.identity}.{request}\r\n"
                        f"Keep-Alive: timeout=10\r\nContent-Length: {len(body)}\r\n\r\n{body}"
                    ).encode()
                )
        except OSError:
            pass
        finally:
            connection.close()


class Caller:
    """Sends one request after the other on a kept channel."""

    def __init__(self, number, address, record):
        self.number = number
        self.address = address
        self.record = record
        self.results = []  # (id, kind, what)

    def run(self):
        connection, sequence = None, 0
        while self.record.now() < END_S:
            sequence += 1
            request = f"{self.number:04x}{sequence:012x}"
            kind = ("status", "deposit")[sequence % 2]
            try:
                if connection is None:
                    connection = socket.create_connection(d.split(self.address), timeout=1)
                result, keep = self.exchange(connection, request, kind)
            except OSError as error:
                result, keep = f"no answer: {error!r}", False
            self.results.append((request, kind, result))
            self.record.add(f"caller {self.number} {kind} {request} {result}")
            if not keep:
                if connection is not None:
                    connection.close()
                connection = None
            time.sleep(PAUSE_S)

    def exchange(self, connection, request, kind):
        method = "GET" if kind == "status" else "POST"
        length = "" if kind == "status" else "Content-Length: 0\r\n"
        connection.settimeout(TIMEOUT_MS / 1000 + LATE_S)
        connection.sendall(
            (
                f"{method} /{kind}/a HTTP/1.1\r\nHost: {d.HOST}\r\n{length}"
                f"X-Skylarkwind-Request-Id: {request}\r\n"
                f"X-Skylarkwind-Deadline-Ms: {TIMEOUT_MS}\r\n\r\n"
            ).encode()
        )
        head, rest = read_head(connection, b"")
        if not head:
            return "closed without an answer", False
        line = head.split(b"\r\n")[0].decode("latin1")
        if not re.fullmatch(r"HTTP/1\.1 [2-5]\d\d( .*)?", line):
            return f"BROKEN no answer in the protocol: '{line}'", False
        wanted = int(header(head, "Content-Length") or 0)
        while len(rest) < wanted:
            data = connection.recv(65536)
            if not data:
                return f"'{line}' with a part of its body", False
            rest += data
        keep = header(head, "Connection").lower() != "close"
        return f"'{line}'", keep


def run(deployment):
    record = deployment.record
    _, store = deployment.start_standin("standin_store")
    deployment.put(store, "config", "main", CONFIGURATION)
    engines = []
    for number in range(ENGINES):
        identity = f"i-{number + 1}"
        engine = Engine(identity, d.trouble() and number < FAULTY, record, number)
        engines.append(engine)
        deployment.put(
            store,
            "servers",
            identity,
            {
                "Service": "mesa",
                "Address": engine.address,
                "Zone": "quito-a",
                "Version": 1,
                "Slots": 6,
                "State": "ready",
                "ColdMs": 0,
                "Seq": 1,
            },
        )
    address = deployment.start_daemon("edge-1", store)["Front"]
    deployment.wait_ready("edge-1")
    callers = [Caller(number, address, record) for number in range(CALLERS)]
    threads = [threading.Thread(target=caller.run) for caller in callers]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    results = [one for caller in callers for one in caller.results]
    spoilt = {key: line for engine in engines for key, line in engine.spoilt.items()}
    broken = [one for one in results if one[2].startswith("BROKEN")]
    record.say(f"{len(results)} requests, {len(spoilt)} of them got a spoilt answer of an engine")
    for request, kind, result in broken:
        record.say(f"{kind} {request}: {result}; engine sent '{spoilt.get(request)}'")
    record.say(f"{len(broken)} callers got bytes that are no answer")
    return bool(broken)


d.run_case(FOLDER, BOUNDS, run)
