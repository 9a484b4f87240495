"""Case 1: the store is silent and the lease's holder freezes; its later orders bear old fences."""

import http.server
import json
import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import deployment as d  # noqa: E402

# Of the site tallow-creek.
BOUNDS = {
    "ConfigApplyMs": 2000,
    "DrainMs": 2000,
    "GraceS": 8,
    "LeaseMs": 3000,
    "RetryBudgetRatio": 0.2,
    "BudgetMinRetries": 56,
    "BudgetWindowS": 10,
}
THAW_SLACK_S = 0.3  # ThawSlackMs
ROLE_SWITCH_S = 3.0  # RoleSwitchS
STEP_S = 7.0  # between two changes of the fleet
SILENT_AFTER_S = 0.25  # the store, after the change that calls for an order
SILENT_S = 4.5  # `platform_down` silent
FREEZE_AFTER_S = 1.1
FREEZE_S = 4.1  # `node_freeze`; it ends 0.45 s after the store's outage

CONFIGURATION = {
    "Version": 4,
    "Routes": [
        {
            "Name": "survey",
            "Host": d.HOST,
            "PathPrefix": "/survey/",
            "Kind": "streaming",
            "TimeoutMs": 8000,
            "TargetLatencyMs": 600,
            "TargetGapMs": 200,
            "Priority": 2,
            "MaxAttempts": 2,
            "Sticky": True,
            "Resumable": True,
            "Service": "moss",
        }
    ],
    "Services": [
        {
            "Name": "moss",
            "HealthCheck": "/health",
            "MaxConnections": 370,
            "Engine": {
                "Slots": 64,
                "KvTokens": 473698,
                "KvTokenBytes": 327680,
                "LinkMbps": 3200000.0,
                "Stride": 6,
                "HandleTtlS": 5.0,
                "RoleSwitchS": ROLE_SWITCH_S,
                "Models": [{"Name": "m"}],
            },
        }
    ],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
}


class Engine:
    """A model engine without requests: it reports its state, takes orders and keeps its entry."""

    def __init__(self, identity, deployment, store):
        self.identity = identity
        self.deployment = deployment
        self.store = store
        self.stage, self.state = "decode", "ready"
        self.busy, self.accepted = False, 0
        self.born = int(time.time() * 1000)
        self.orders = []  # (time, holder, fence, answer)
        self.lock = threading.Lock()
        engine = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def reply(self, status, body):
                text = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            def do_GET(self):
                self.reply(200, engine.report())

            def do_POST(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                expected = self.headers.get("X-Skylarkwind-Expect-Instance", engine.identity)
                if expected != engine.identity:
                    self.reply(421, {})
                else:
                    self.reply(engine.order(json.loads(body)), {})

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.publish()

    def report(self):
        with self.lock:
            return {
                "Stage": self.stage,
                "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
                "Busy": self.busy,
                "Seq": self.accepted,
                "Waiting": 0,
                "Running": 0,
                "KvUsed": 0,
                "KvTotal": 473698,
                "KvHandles": 0,
                "born": self.born,
            }

    def order(self, body):
        with self.lock:
            if body["Stage"] == self.stage:
                answer = 200
            elif self.busy or body.get("Expect", self.accepted) != self.accepted:
                answer = 409
            else:
                answer = 202
                self.busy = True
                self.accepted += 1
                threading.Thread(target=self.switch, args=(body["Stage"],), daemon=True).start()
            now = self.deployment.record.now()
            self.orders.append((now, body["Holder"], body["Fence"], answer))
        self.deployment.record.say(
            f"engine {self.identity} gets order stage={body['Stage']} holder={body['Holder']} "
            f"fence={body['Fence']} answer={answer}"
        )
        return answer

    def switch(self, stage):
        time.sleep(ROLE_SWITCH_S)
        with self.lock:
            self.stage, self.busy = stage, False
        self.publish()

    def publish(self):
        """Writes the entry, again until the store takes it."""
        while True:
            try:
                self.deployment.put(
                    self.store,
                    "servers",
                    self.identity,
                    {
                        "Service": "moss",
                        "Address": self.address,
                        "Zone": "ga-a",
                        "Version": 1,
                        "Slots": 64,
                        "State": self.state,
                        "ColdMs": 0,
                        "Seq": 1,
                        "Stage": self.stage,
                        "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
                        "born": self.born,
                    },
                )
                return
            except (OSError, d.http.client.HTTPException):
                time.sleep(0.3)

    def leave(self):
        self.state = "draining"
        self.publish()


def lease_of(store):
    try:
        status, body = d.call(store, "GET", "/skylarkwind/objects/skylarkwind-leases/engine-orders")
    except (OSError, d.http.client.HTTPException):
        return "unknown"
    return json.loads(body).get("Spec") if status == 200 else "none"


def run(deployment):
    record = deployment.record
    _, store = deployment.start_standin("standin_store")
    deployment.put(store, "config", "main", CONFIGURATION)
    # Of four engines, two prefill. The two whose ids sort first are the ones that come and go.
    engines = {name: Engine(name, deployment, store) for name in ("a1", "a2", "e3", "e4")}
    deployment.start_daemon("edge-1", store, zone="ga-a")
    deployment.wait_ready("edge-1")
    frozen = []  # (from, to)

    def fleet(step):
        """Two engines leave, or two empty ones are added, so that e4 changes its stage."""
        names = [f"a{2 * step - 1}", f"a{2 * step}"]
        if step % 2 == 1:
            for name in [f"a{2 * step - 1}", f"a{2 * step}"]:
                engines[name].leave()
            record.say(f"engines {names} leave")
        else:
            names = [f"a{2 * step + 1}", f"a{2 * step + 2}"]
            for name in names:
                engines[name] = Engine(name, deployment, store)
            record.say(f"engines {names} are added")

    def wait_orders(name, count, limit):
        until = time.monotonic() + limit
        while time.monotonic() < until and len(engines[name].orders) < count:
            time.sleep(0.05)

    wait_orders("e4", 1, 8.0)
    time.sleep(STEP_S)
    for step in range(1, 7):
        expected = len(engines["e4"].orders) + 1
        troubled = d.trouble() and step == 4
        fleet(step)
        if troubled:
            time.sleep(SILENT_AFTER_S)
            d.call(store, "POST", "/standin/faults", {"mode": "silent"})
            record.say("the store is silent")
            begin = time.monotonic()
            time.sleep(FREEZE_AFTER_S - SILENT_AFTER_S)
            deployment.signal("edge-1", signal.SIGSTOP)
            frozen_at = record.now()
            time.sleep(SILENT_S - (time.monotonic() - begin))
            d.call(store, "POST", "/standin/faults", {"mode": "none"})
            record.say("the store answers again")
            time.sleep(frozen_at + FREEZE_S - record.now())
            deployment.signal("edge-1", signal.SIGCONT)
            frozen.append((frozen_at, record.now()))
        wait_orders("e4", expected, 12.0)
        record.say(f"the stored lease: {lease_of(store)}")
        time.sleep(STEP_S)

    for line in deployment.log_of("edge-1").splitlines():
        if " lease: " in line or " orders: " in line:
            record.add("daemon " + line)
    return judge(record, engines, frozen)


def judge(record, engines, frozen):
    """ONE: a lower fence after a higher one at one engine, but for orders soon after a thaw."""
    broken = False
    for engine in engines.values():
        highest = 0
        for at, holder, fence, _ in engine.orders:
            excused = any(begin <= at <= end + THAW_SLACK_S for begin, end in frozen)
            if fence < highest:
                record.say(f"engine {engine.identity} got fence {fence} of {holder} at {at:.3f} "
                           f"after fence {highest}" + (", soon after the thaw" if excused else ""))
                broken = broken or not excused
            if not excused:
                highest = max(highest, fence)
    record.say(f"orders to e4: {[order[2] for order in engines['e4'].orders]} (fences)")
    if len(engines["e4"].orders) < 5:
        raise d.CannotRun("too few orders")
    return broken


d.run_case(FOLDER, BOUNDS, run)
