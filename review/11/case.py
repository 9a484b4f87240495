"""An engine is killed between two events of streams that end with their channel."""
import asyncio
import os
import re
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import lab_3 as lab  # noqa: E402

HERE = os.path.dirname(os.path.abspath(__file__))
HOST = "ficu95.example"
EVENTS = 20
GAP_S = 0.1
ROUNDS = 4
STREAMS = 12

CONFIGURATION = {
    "Version": 1,
    "Routes": [{"Name": "query", "Host": HOST, "PathPrefix": "/query/", "Service": "model",
                "Kind": "streaming", "Resumable": True, "TimeoutMs": 8000, "TargetLatencyMs": 300,
                "TargetGapMs": 200, "MaxAttempts": 2, "Priority": 0, "Sticky": True}],
    "Services": [{"Name": "model", "HealthCheck": "/health", "MaxConnections": 370,
                  "Engine": {"Slots": 64, "KvTokens": 473698, "Stride": 6, "KvTokenBytes": 327680,
                             "LinkMbps": 3200000, "HandleTtlS": 5, "RoleSwitchS": 3}}],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
               "IdleTimeoutMs": 15000},
}


async def case(record, folder):
    store = lab.Store()
    await store.start()
    numbers = iter(range(1_000))
    zones = ["ga-a", "ga-b", "ga-c"]

    async def start_engine(stage, zone):
        engine = lab.EngineProcess(record, store, f"i-{next(numbers)}", "model", zone, stage,
                                   events=EVENTS, gap_s=GAP_S, delimited=False)
        await engine.start()
        return engine

    engines = []
    for stage in ("prefill",) * 4 + ("decode",) * 8:
        engines.append(await start_engine(stage, zones[len(engines) % 3]))
    store.put("config", "main", CONFIGURATION)
    daemons = [lab.Daemon(record, folder, f"edge-{zone}-1", zone, store.at, [],
                          f"127.0.0.{11 + index}") for index, zone in enumerate(zones)]
    for daemon in daemons:
        daemon.seeds = [other.control for other in daemons]
    broken = []

    async def stream(daemon, request_id):
        answer = await lab.ask(
            daemon.front, "POST", "/query/1", HOST,
            [("X-Skylarkwind-Request-Id", request_id), ("X-Skylarkwind-Deadline-Ms", "8000"),
             ("X-Skylarkwind-Model", "m"), ("X-Skylarkwind-Token-Count", "1460,120"),
             ("X-Skylarkwind-Prefix-Hash", f"a1:350,{request_id}:1110")], b"x" * 1500, 10)
        pieces = [int(number) for number in re.findall(rb"^id: (\d+)$", answer.body, re.M)]
        record(f"caller: {request_id} status={answer.status} whole={answer.whole} "
               f"pieces={pieces[:1]}..{pieces[-1:]}")
        if answer.status == 200 and answer.whole and pieces != list(range(1, EVENTS + 1)):
            broken.append(f"ORDER {request_id}: ends as complete with {len(pieces)} of "
                          f"{EVENTS} pieces")

    try:
        for daemon in daemons:
            await daemon.start()
        for daemon in daemons:
            await daemon.wait_ready()
        await asyncio.sleep(2)
        for turn in range(ROUNDS):
            streams = [asyncio.ensure_future(
                stream(daemons[number % 3], f"{turn}{number:03x}")) for number in range(STREAMS)]
            await asyncio.sleep(1.05)
            if lab.TROUBLE:
                # One decode engine crashes; its entry goes after three heartbeats of silence.
                engine = engines.pop(4)
                await engine.kill()
            await asyncio.gather(*streams)
            if lab.TROUBLE:
                await asyncio.sleep(1.6)
                store.remove("servers", engine.listed.name)
                engines.append(await start_engine("decode", engine.listed.zone))
            await asyncio.sleep(1)
    finally:
        for daemon in daemons:
            await daemon.end()
        for engine in engines:
            await engine.end()
    return broken


lab.play(HERE, case)
