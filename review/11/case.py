"""Callers send requests with false framing whose bodies hold another request."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import lab_3 as lab  # noqa: E402

HERE = os.path.dirname(os.path.abspath(__file__))
HOST = "ficu95.example"
ROUNDS = 5
SOUND_PER_ROUND = 40

CONFIGURATION = {
    "Version": 1,
    "Routes": [{"Name": "lookup", "Host": HOST, "PathPrefix": "/lookup/", "Service": "app",
                "Kind": "idempotent", "TimeoutMs": 800, "TargetLatencyMs": 300, "MaxAttempts": 2,
                "Priority": 2},
               {"Name": "order", "Host": HOST, "PathPrefix": "/order/", "Service": "app",
                "Kind": "non_idempotent", "TimeoutMs": 800, "TargetLatencyMs": 300,
                "MaxAttempts": 1, "Priority": 2}],
    "Services": [{"Name": "app", "HealthCheck": "/health", "MaxConnections": 110}],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
               "IdleTimeoutMs": 15000},
}


def head(method, path, request_id):
    return (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Skylarkwind-Request-Id: {request_id}\r\n"
            "X-Skylarkwind-Deadline-Ms: 1500\r\n").encode()


def inner_request(request_id):
    """The text of an order, sent as a part of the body of another one."""
    return head("POST", "/order/2", request_id) + b"Content-Length: 1\r\n\r\nx"


def in_false_framing(outer_id, inner_id):
    """Requests by what is wrong with them."""
    outer = head("POST", "/order/1", outer_id)
    inner = inner_request(inner_id)
    return {
        # RFC 9112, 6.1: the server has to close the connection after it has responded.
        "length-and-chunks": outer + b"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n"
                                     b"0\r\n\r\n" % (len(inner) + 5) + inner,
        # The length is no number of bytes; modulo 2^64 it is 5.
        "negative-length": outer + b"Content-Length: -18446744073709551611\r\n\r\nhello" + inner,
        # The order is data of a chunk of 2^64 bytes, which no recipient can take.
        "chunk-beyond-64-bits": outer + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
                                        b"10000000000000000\r\n" + inner,
    }


def in_sound_framing(outer_id, inner_id):
    outer = head("POST", "/order/1", outer_id)
    inner = inner_request(inner_id)
    return {
        "length": outer + b"Content-Length: %d\r\n\r\n" % len(inner) + inner,
        "chunks": outer + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % len(inner) + inner +
                  b"\r\n0\r\n\r\n",
        "two-chunks": outer + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n%x\r\n" % len(inner)
                      + inner + b"\r\n0\r\n\r\n",
    }


async def case(record, folder):
    store = lab.Store()
    await store.start()
    ran = {}

    async def behave(engine, request):
        request_id = request.header("X-Skylarkwind-Request-Id")
        ran[request_id] = engine.name
        await asyncio.sleep(0.02)
        request.connection.send(200, f"answer to {request_id}", engine.signed(request))

    engines = [lab.Engine(record, store, f"i-{n}", "app", f"ga-{zone}", 6, behave)
               for n, zone in enumerate("abc", 1)]
    for engine in engines:
        await engine.start()
        engine.list()
    store.put("config", "main", CONFIGURATION)
    daemon = lab.Daemon(record, folder, "edge-ga-a-1", "ga-a", store.at, [], "127.0.0.21")
    daemon.seeds = [daemon.control]
    broken = []

    async def sound(number):
        method, path = ("GET", "/lookup/1") if number % 2 else ("POST", "/order/1")
        answer = await lab.ask(
            daemon.front, method, path, HOST,
            [("X-Skylarkwind-Request-Id", f"r{number:04d}"),
             ("X-Skylarkwind-Deadline-Ms", "1500")], b"x" * 100 if method == "POST" else b"", 4)
        record(f"caller: r{number:04d} {method} {path} status={answer.status}")

    async def hold_another(outer_id, inner_id, name, data):
        """Sends one request; all that comes back on its channel is recorded."""
        reader, writer = await asyncio.open_connection(*lab.split(daemon.front))
        record(f"caller: {outer_id} POST /order/1 framing={name} body holds {inner_id}")
        writer.write(data)
        received = b""
        try:
            while True:
                part = await asyncio.wait_for(reader.read(65536), 0.5)
                if not part:
                    break
                received += part
        except (asyncio.TimeoutError, ConnectionError):
            pass
        writer.close()
        record(f"caller: {outer_id} got {received.count(b'HTTP/1.1 ')} answers: {received!r}")
        if inner_id in ran:
            broken.append(f"UNASKED {inner_id} ran at {ran[inner_id]}: it is a part of the body of "
                          f"{outer_id} ({name})")

    try:
        await daemon.start()
        await daemon.wait_ready()
        numbers = iter(range(100_000))
        framings = in_false_framing if lab.TROUBLE else in_sound_framing
        for turn in range(ROUNDS):
            for name in framings("", ""):
                outer_id, inner_id = f"outer-{turn}-{name}", f"inner-{turn}-{name}"
                data = framings(outer_id, inner_id)[name]
                await asyncio.gather(hold_another(outer_id, inner_id, name, data),
                                     *(sound(next(numbers)) for _ in range(SOUND_PER_ROUND)))
    finally:
        await daemon.end()
    return broken


lab.play(os.path.join(HERE, "record.txt"), case)
