"""A model engine as a process of its own: engine.py PORT NAME FILE [PAUSE]

It streams 40 events without a length or chunks and ends with the connection. A request with
Last-Event-Id goes on after that event. Its prompt takes half a second, and the head is sent at
once. An event is sent in two writes, or, with a PAUSE in seconds after each, in one. A request to a
path under /l/ gets a plain answer without a length instead, in two parts with the PAUSE between
them. What the engine does is appended to FILE.
"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from rig import Request, header, read_body, read_head

EVENTS = 40
PROMPT_S = 0.5
HALF_EVENT_S = 0.03


def log(file, text):
    with open(file, "a", encoding="utf-8") as out:
        out.write("%.6f %s\n" % (time.monotonic(), text))


async def stream(request, writer, name, file, pause_s):
    last = header(request.headers, "last-event-id")
    log(file, "%s runs %s after=%s" % (name, request.id, last))
    writer.write(("HTTP/1.1 200 OK\r\nX-Skylarkwind-Request-Id: %s\r\n"
                  "X-Skylarkwind-Response-Signature: s.%s.%s\r\n"
                  "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n" % (
                      request.id, name, request.id)).encode())
    await writer.drain()
    await asyncio.sleep(PROMPT_S)
    for number in range(int(last or 0) + 1, EVENTS + 1):
        if pause_s:
            writer.write(b"id: %d\ndata: piece %d of %d\n\n" % (number, number, EVENTS))
            await writer.drain()
            log(file, "%s %s ends event %d" % (name, request.id, number))
            await asyncio.sleep(pause_s)
            continue
        writer.write(b"id: %d\ndata: pie" % number)
        await writer.drain()
        log(file, "%s begins event %d" % (name, number))
        await asyncio.sleep(HALF_EVENT_S)
        writer.write(b"ce %d of %d\n\n" % (number, EVENTS))
        await writer.drain()
        log(file, "%s ends event %d" % (name, number))
        await asyncio.sleep(HALF_EVENT_S)


async def answer(request, writer, name, file, pause_s):
    log(file, "%s runs %s" % (name, request.id))
    writer.write(("HTTP/1.1 200 OK\r\nX-Skylarkwind-Request-Id: %s\r\n"
                  "X-Skylarkwind-Response-Signature: s.%s.%s\r\nConnection: close\r\n\r\n"
                  "first part of %s, " % (request.id, name, request.id, request.id)).encode())
    await writer.drain()
    await asyncio.sleep(pause_s)
    writer.write(("second part of %s\n" % request.id).encode())
    await writer.drain()


async def serve(reader, writer, name, file, pause_s):
    try:
        while True:
            line, headers = await read_head(reader)
            request = Request(line, headers, await read_body(reader, headers))
            if request.id is not None and request.target.startswith("/l/"):
                await answer(request, writer, name, file, pause_s)
                break
            if request.id is not None:
                await stream(request, writer, name, file, pause_s)
                break
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def main():
    port, name, file = int(sys.argv[1]), sys.argv[2], sys.argv[3]
    pause_s = float(sys.argv[4]) if len(sys.argv) > 4 else 0
    server = await asyncio.start_server(
        lambda reader, writer: serve(reader, writer, name, file, pause_s), "127.0.0.1", port)
    log(file, "%s listens" % name)
    await server.serve_forever()


asyncio.run(main())
