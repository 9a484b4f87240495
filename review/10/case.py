"""A server that leaves gets requests again when an older write of its entry is done late."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))

from rig import *

DRAIN_S = 2.0
HEARTBEAT_S = 1.2
WORK_S = 0.4
LATE_S = 2.8


async def case(rig, trouble):
    times = {}

    def worker(engine_name):
        async def answer(request, writer):
            engine = next(one for one in rig.engines if one.name == engine_name)
            arrivals.append((time.monotonic(), engine_name, request.id))
            await asyncio.sleep(WORK_S)
            return await engine.sound_answer(request, writer)

        return answer

    arrivals = []
    for name in ("i-1", "i-2", "i-3"):
        await rig.engine(name, "app", worker(name))
    rig.configure(
        [plain_route("r-w", "/w/", "non_idempotent", "app")], [plain_service("app")])
    await rig.start_daemons()
    daemon = rig.daemons[0]
    stop = asyncio.Event()

    answers = []

    async def traffic():
        number = 0
        pending = []
        while not stop.is_set():
            number += 1
            pending.append(asyncio.ensure_future(one("%08x" % number)))
            await asyncio.sleep(0.04)
        await asyncio.gather(*pending)

    async def one(request_id):
        at = time.monotonic()
        answers.append((at, await rig.send(daemon, "POST", "/w/x", request_id, b"order")))

    background = [asyncio.ensure_future(traffic())]
    leaving = rig.engines[0]

    def write(state, seq):
        rig.store.put("servers", "i-1", dict(leaving.entry(state), Seq=seq))
        rig.record.add("store has done the write of i-1: %s, Seq %d" % (state, seq))

    write("ready", 4)
    await asyncio.sleep(4)
    # The engine's write of "ready" with Seq 5 gets no answer here; the store does it 2.8 s later.
    late = time.monotonic() + LATE_S
    await asyncio.sleep(0.3)
    write("draining", 6)
    times["acknowledged"] = time.monotonic()
    await asyncio.sleep(HEARTBEAT_S)
    write("draining", 7)
    await asyncio.sleep(HEARTBEAT_S)
    write("draining", 8)
    await asyncio.sleep(late - time.monotonic())
    if trouble:
        write("ready", 5)
    await asyncio.sleep(times["acknowledged"] + 3.4 - time.monotonic())
    leaving.server.close()
    for writer in list(leaving.open):
        reset(writer)
    rig.store.remove("servers", "i-1")
    rig.record.add("i-1 has left")
    await asyncio.sleep(2)
    stop.set()
    await asyncio.gather(*background)
    since = times["acknowledged"]
    seen = [at - since for at, name, _ in arrivals if name == "i-1" and at > since]
    late = [at for at in seen if at > DRAIN_S]
    rig.record.add("i-1 got requests after the acknowledgement at %s" % ["%.2f" % at for at in seen])
    lost = [answer for at, answer in answers if answer.status != 200]
    rig.record.add("requests without success: %s" % [answer.status for answer in lost])
    broken = []
    if late:
        broken.append(
            "DRAIN: i-1 got %d requests later than %.0f s after its leaving was acknowledged, the "
            "last one after %.2f s; %d requests had no success" % (
                len(late), DRAIN_S, late[-1], len(lost)))
    return broken


if __name__ == "__main__":
    # TROUBLE=0 leaves out the disruption.
    main(case, os.environ.get("TROUBLE", "1") != "0", os.path.join(FOLDER, "record.txt"))
