"""A small deployment of real processes on loopback addresses, for the scripts of the cases.

The daemons run as deploy/system.toml says, with settings rendered from deploy/settings.yaml. Store,
backend servers and relays are the project's stand-ins, built by review/build.sh. With SKYLARKWIND_BIN
set, the daemon and the stand-ins are those of that folder, e.g. of the build that CI has made.
"""

import http.client
import json
import os
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAMS = os.environ.get("SKYLARKWIND_BIN")
STANDINS = PROGRAMS or os.path.join(ROOT, "build-review", "bin")
DAEMON = os.path.join(PROGRAMS or os.path.join(ROOT, "target", "bin"), "skylarkwindd")
HOST = "desk.example"


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


def trouble():
    """Whether the case's disruption is played; run.sh passes --calm for TROUBLE=0."""
    return "--calm" not in sys.argv[1:]


def raise_descriptor_limit(needed):
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < needed:
        raise CannotRun(f"needs {needed} descriptors, the limit is {hard}")
    if soft < needed:
        resource.setrlimit(resource.RLIMIT_NOFILE, (needed, hard))


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def split(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


def call(address, method, path, body=None, timeout=3.0):
    """Status and body of one HTTP call; raises OSError or HTTPException without an answer."""
    connection = http.client.HTTPConnection(*split(address), timeout=timeout)
    try:
        text = None if body is None else json.dumps(body)
        connection.request(method, path, text, {"Content-Type": "application/json"})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def render(template, fields):
    """Fills in the placeholders that deploy/settings.yaml uses.

    A value that the deployment does not have is empty, which the daemon's settings take for unset.
    """

    def value(match):
        found = fields
        for name in match.group(1).split("."):
            found = found.get(name, "") if isinstance(found, dict) else ""
        return ",".join(found) if isinstance(found, list) else str(found)

    return re.sub(r"\{\{([A-Za-z.]+)\}\}", value, template)


class Record:
    """Lines of record.txt, with the time since the start of the case."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def add(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text):
        self.add(text)
        print(f"{self.now():8.3f} {text}", flush=True)

    def close(self):
        with self.lock:
            self.file.close()


class Deployment:
    def __init__(self, folder, bounds, max_fds=None):
        self.record = Record(folder)
        self.bounds = bounds
        self.max_fds = max_fds
        self.directory = tempfile.mkdtemp(prefix="skylarkwind-review-")
        self.processes = []
        self.daemons = {}
        self.seeds = []

    def start_standin(self, name, *arguments):
        program = os.path.join(STANDINS, name)
        if not os.path.exists(program):
            raise CannotRun(f"{program} is missing; run review/build.sh")
        process = subprocess.Popen(
            [program, *arguments], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True
        )
        self.processes.append(process)
        line = process.stdout.readline().split()
        if not line:
            raise CannotRun(f"{name} did not start")
        threading.Thread(target=process.stdout.read, daemon=True).start()
        return process, line[-1]

    def put(self, store, kind, name, spec):
        body = {"Metadata": {"Name": name}, "Spec": spec}
        path = f"/skylarkwind/objects/{kind}"
        if call(store, "POST", path, body)[0] == 409:
            call(store, "PUT", f"{path}/{name}", body)

    def start_daemon(self, name, store, zone="quito-a", addresses=None):
        """Starts a daemon, or starts one again at its addresses."""
        if addresses is None:
            addresses = {"Front": free_address(), "Ready": free_address()}
            addresses["Control"] = free_address()
        if not self.seeds:
            self.seeds = [addresses["Control"]]
        fields = {
            "Node": name,
            "Zone": zone,
            "Listen": addresses,
            "Seeds": self.seeds,
            "Provider": {"Address": store},
            "Limits": {"CpuShare": 0.25, "LinkMbps": 1000},
            "Bounds": self.bounds,
        }
        with open(os.path.join(ROOT, "deploy", "settings.yaml"), encoding="utf-8") as file:
            template = file.read()
        settings = os.path.join(self.directory, f"{name}.yaml")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(render(template, fields))

        def limit_descriptors():
            if self.max_fds:
                resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_fds, self.max_fds))

        if not os.path.exists(DAEMON):
            raise CannotRun(f"{DAEMON} is missing; build as deploy/system.toml says")
        with open(os.path.join(self.directory, f"{name}.log"), "a", encoding="utf-8") as log:
            process = subprocess.Popen(
                [DAEMON],
                cwd=ROOT,
                env={"SKYLARKWIND_SETTINGS": settings, "PATH": os.environ["PATH"]},
                stdout=log,
                stderr=log,
                preexec_fn=limit_descriptors,
            )
        self.processes.append(process)
        self.daemons[name] = (process, addresses)
        self.record.say(f"daemon {name} started front={addresses['Front']}")
        return addresses

    def ready(self, name, timeout=1.0):
        try:
            return call(self.daemons[name][1]["Ready"], "GET", "/skylarkwind/ready",
                        timeout=timeout)[0]
        except (OSError, http.client.HTTPException):
            return 0

    def wait_ready(self, name, limit=15.0):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if self.ready(name) == 200:
                return
            time.sleep(0.1)
        raise CannotRun(f"daemon {name} is not ready")

    def signal(self, name, number):
        self.record.say(f"daemon {name} gets {signal.Signals(number).name}")
        self.daemons[name][0].send_signal(number)

    def log_of(self, name):
        with open(os.path.join(self.directory, f"{name}.log"), encoding="utf-8") as file:
            return file.read()

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self.record.close()
        shutil.rmtree(self.directory, ignore_errors=True)


def run_case(folder, bounds, body, max_fds=None):
    """Runs the case and exits: 1 the rule was broken, 0 it held, 2 it could not run."""
    try:
        deployment = Deployment(folder, bounds, max_fds)
    except OSError as error:
        print(error)
        sys.exit(2)
    code = 2
    try:
        code = 1 if body(deployment) else 0
        deployment.record.say("the rule was broken" if code else "the rule held")
    except (CannotRun, OSError, http.client.HTTPException) as error:
        deployment.record.say(f"could not run: {error!r}")
    finally:
        deployment.end()
    sys.exit(code)
