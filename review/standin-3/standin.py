"""Stand-ins for the clients, servers and store of the users' platform.

A case imports this module, starts a store, some replicas and the router's own
processes on loopback addresses, and writes what it saw with note().
"""

import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "hornbeamwall")
HOST = "h.example"
KEY = "key-of-tenant-one"

# What a process receives of its caller's environment, as DEPLOY.md says.
ENVIRONMENT = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
               if name in os.environ}

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2

_start = time.monotonic()
_lock = threading.Lock()
_record = None


def now():
    return time.monotonic() - _start


def open_record(path):
    global _record
    open(path, "w", encoding="utf-8").close()
    _record = open(path, "a", encoding="utf-8")


def note(text):
    """Writes one line with its time to the record."""
    with _lock:
        line = "%8.3f s  %s" % (now(), text)
        if _record is not None:
            _record.write(line + "\n")
            _record.flush()


_ports = set()


def free_port():
    """Returns a port that no other call has returned and nothing listens on."""
    while True:
        port = _find_port()
        if port not in _ports:
            _ports.add(port)
            return port


def _find_port():
    """Returns a port below those that the kernel gives to connections."""
    while True:
        port = random.randrange(12000, 32000)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


class Connection:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def fill(self):
        data = self.sock.recv(65536)
        self.buffer += data
        return bool(data)

    def read_until(self, mark):
        while mark not in self.buffer:
            if not self.fill():
                return None
        head, self.buffer = self.buffer.split(mark, 1)
        return head

    def read_exactly(self, count):
        while len(self.buffer) < count:
            if not self.fill():
                return None
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def read_chunks(self):
        body = b""
        while True:
            size = self.read_until(b"\r\n")
            if size is None:
                return None
            count = int(size.split(b";")[0], 16)
            data = self.read_exactly(count + 2)
            if data is None:
                return None
            if count == 0:
                return body
            body += data[:-2]

    def read_body(self, fields):
        if fields.get("transfer-encoding") == "chunked":
            return self.read_chunks()
        return self.read_exactly(int(fields.get("content-length", "0")))


def parse_head(text):
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return lines[0], fields


def reset(sock):
    """Closes a connection with a reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()
    except OSError:
        pass


class Listener:
    """Accepts connections and serves each in a thread."""

    BACKLOG = 512

    def __init__(self, ip="127.0.0.1", port=0):
        self.is_dark = False
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((ip, port))
        self.sock.listen(self.BACKLOG)
        self.ip, self.port = self.sock.getsockname()
        self.address = "%s:%d" % (self.ip, self.port)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, peer = self.sock.accept()
            except OSError:
                return
            if self.is_dark:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._run, args=(sock, peer[0]), daemon=True
            ).start()

    def _run(self, sock, peer):
        try:
            self.serve(sock, peer)
        except (OSError, ValueError):
            pass
        finally:
            sock.close()


class Store(Listener):
    """The platform's store: objects by kind and name, lists, watches and writes."""

    PREFIX = "/hornbeamwall/objects/"
    PAGE = 500

    def __init__(self):
        self.changed = threading.Condition()
        self.objects = {}
        self.events = []
        self.revision = 10
        self.era = 1
        self.down = False
        self.refused = set()  # addresses of machines that get 503
        super().__init__()

    def put(self, kind, name, spec, creator="operator"):
        """Writes an object; its revision is the ack."""
        with self.changed:
            self.revision += 1
            old = self.objects.get((kind, name))
            created = old["metadata"]["created"] if old else self.revision
            item = {
                "metadata": {"name": name, "revision": self.revision,
                             "created": created, "finalizers": [],
                             "deleting": False},
                "spec": spec, "status": {},
            }
            self.objects[(kind, name)] = item
            self.events.append((self.revision, kind, item, False))
            self.changed.notify_all()
            return item

    def remove(self, kind, name):
        with self.changed:
            item = self.objects.pop((kind, name), None)
            if item is None:
                return
            self.revision += 1
            item = json.loads(json.dumps(item))
            item["metadata"]["revision"] = self.revision
            self.events.append((self.revision, kind, item, True))
            self.changed.notify_all()

    def serve(self, sock, peer):
        connection = Connection(sock)
        while True:
            head = connection.read_until(b"\r\n\r\n")
            if head is None:
                return
            line, fields = parse_head(head)
            body = connection.read_body(fields)
            if body is None:
                return
            method, target, _ = line.split(" ")
            if self.down or peer in self.refused:
                status, answer = 503, {}
            else:
                status, answer = self.answer(method, target, body)
            data = json.dumps(answer).encode()
            sock.sendall(
                b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                b"Store-Era: %d\r\nContent-Length: %d\r\n\r\n"
                % (status, self.era, len(data)) + data
            )

    def answer(self, method, target, body):
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        if not parts.path.startswith(self.PREFIX):
            return 404, {}
        names = parts.path[len(self.PREFIX):].split("/")
        kind = names[0]
        if method == "GET" and len(names) > 1:
            with self.changed:
                item = self.objects.get((kind, names[1]))
                return (200, item) if item else (404, {})
        if method == "GET" and "watch" in query:
            return self.watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
        if method == "GET":
            return self.list(kind, query.get("after", ""))
        return self.write(method, kind, names, query, body)

    def list(self, kind, after):
        with self.changed:
            items = sorted(
                (name, item) for (k, name), item in self.objects.items()
                if k == kind and name > after
            )
            page = [item for _, item in items[:self.PAGE]]
            return 200, {"items": page, "truncated": len(items) > self.PAGE,
                         "current_rev": self.revision}

    def watch(self, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        with self.changed:
            while True:
                events = [{"object": item, "removed": removed}
                          for revision, k, item, removed in self.events
                          if k == kind and revision > since]
                left = end - time.monotonic()
                if events or left <= 0 or self.down:
                    return 200, {"events": events, "current_rev": self.revision}
                self.changed.wait(left)

    def write(self, method, kind, names, query, body):
        value = json.loads(body) if body else {}
        metadata = value.get("metadata", {})
        name = names[1] if len(names) > 1 else metadata.get("name")
        wanted = metadata.get("revision", query.get("revision"))
        with self.changed:
            old = self.objects.get((kind, name))
            if method == "POST" and old is not None:
                return 409, old
            if method != "POST" and old is None:
                return 404, {}
            if wanted is not None and old is not None \
                    and int(wanted) != old["metadata"]["revision"]:
                return 409, old
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        return 200, self.put(kind, name, value.get("spec"))


class Request:
    """A request as a replica has read it."""

    def __init__(self, line, fields, body, peer):
        self.method, self.target, _ = line.split(" ")
        self.fields = fields
        self.body = body
        self.peer = peer
        self.id = fields.get("x-hornbeamwall-attempt-id", "")
        self.at = now()


class Replica(Listener):
    """A replica of a service.  BEHAVE is called with the replica, the socket and the
    request; it returns FALSE to close the connection."""

    def __init__(self, identity, behave=None, ip="127.0.0.1", port=0):
        self.identity = identity
        self.behave = behave or Replica.answer_ok
        self.runs = []  # (time, request)
        self.rejected = []
        self.keep_alive_s = 5
        self.open = set()
        super().__init__(ip, port)

    def entry(self, zone="z", backend="b", state="ready", slots=8, **more):
        spec = {"backend": backend, "address": self.address, "zone": zone,
                "version": "1", "slots": slots, "state": state,
                "warmup_left_ms": 0, "sequence": 1}
        spec.update(more)
        return spec

    def serve(self, sock, peer):
        connection = Connection(sock)
        self.open.add(sock)
        try:
            while True:
                head = connection.read_until(b"\r\n\r\n")
                if head is None:
                    return
                line, fields = parse_head(head)
                body = connection.read_body(fields)
                if body is None:
                    return
                request = Request(line, fields, body, peer)
                if not self.handle(sock, request):
                    return
        finally:
            self.open.discard(sock)

    def handle(self, sock, request):
        expected = request.fields.get("x-hornbeamwall-expect-instance")
        if expected is not None and expected != self.identity:
            self.rejected.append(request)
            self.send(sock, request, 421, b"", not_executed=True)
            return True
        return self.behave(self, sock, request) is not False

    def run(self, request):
        """Records that the replica works on the request."""
        self.runs.append(request)
        note("%s runs %s %s %s from %s" % (self.identity, request.method,
                                           request.target, request.id, request.peer))

    def head(self, request, status, more="", sealed=True):
        fields = "X-Hornbeamwall-Attempt-Id: %s\r\n" % request.id
        if sealed:
            fields += "X-Hornbeamwall-Response-Seal: seal-%s\r\n" % request.id
        fields += "X-Hornbeamwall-Replica-Load: 1,0,8\r\n"
        fields += "Keep-Alive: timeout=%d\r\n" % self.keep_alive_s
        return ("HTTP/1.1 %d X\r\n%s%s" % (status, fields, more)).encode()

    def send(self, sock, request, status, body, more="", not_executed=False):
        if not_executed:
            more += "X-Hornbeamwall-Not-Executed: 1\r\n"
        more += "Content-Length: %d\r\n\r\n" % len(body)
        data = self.head(request, status, more, sealed=not not_executed)
        sock.sendall(data + (b"" if request.method == "HEAD" else body))

    def answer_ok(self, sock, request):
        self.run(request)
        self.send(sock, request, 200, b"body of " + request.id.encode())
        return True

    def begin_stream(self, sock, request, framing="Transfer-Encoding: chunked\r\n"):
        sock.sendall(self.head(request, 200, "Content-Type: text/event-stream\r\n"
                               + framing + "\r\n"))

    @staticmethod
    def event(number, text="data"):
        return ("id: %d\ndata: %s\n\n" % (number, text)).encode()

    @staticmethod
    def chunk(data):
        return b"%x\r\n" % len(data) + data + b"\r\n"


class ReplicaProcess:
    """A replica in a process of its own, which can be killed.  Create it before any
    thread is started; it records what it does itself."""

    def __init__(self, identity, behave=None):
        listening = socket.socket()
        listening.bind(("127.0.0.1", free_port()))
        self.identity = identity
        self.address = "%s:%d" % listening.getsockname()
        self.pid = os.fork()
        if self.pid == 0:
            try:
                ip, port = listening.getsockname()
                listening.close()
                Replica(identity, behave, ip, port)
                while os.getppid() != 1:
                    time.sleep(0.2)
            finally:
                os._exit(0)
        listening.close()

    entry = Replica.entry

    def kill(self, number=signal.SIGKILL):
        if self.pid:
            os.kill(self.pid, number)
            note("%s gets signal %d" % (self.identity, number))

    def stop(self):
        if self.pid:
            os.kill(self.pid, signal.SIGKILL)
            os.waitpid(self.pid, 0)
            self.pid = 0


class Router:
    """A process of the system, started with the command of the deploy file."""

    def __init__(self, folder, number, store, seeds, zone="z", **settings):
        self.name = "edge-%d" % number
        # The kernel connects to a loopback address from 127.0.0.1; replicas tell the
        # machines apart by the address from which they connect.
        self.ip = "127.0.0.1"
        self.source = "127.0.0.%d" % (10 + number)
        self.caller_port = free_port()
        self.ready_port = free_port()
        self.peer_address = seeds[number] if number < len(seeds) else \
            "%s:%d" % (self.ip, free_port())
        self.settings = {
            "name": self.name, "data_centre": zone, "interface": "platform",
            "policy": "direct",
            "caller_address": "%s:%d" % (self.ip, self.caller_port),
            "ready_address": "%s:%d" % (self.ip, self.ready_port),
            "tunnel_address": "%s:%d" % (self.ip, free_port()),
            "peer_address": self.peer_address,
            "admin_address": "%s:%d" % (self.ip, free_port()),
            "source_address": self.source,
            "platform_address": store.address,
            "retry_ratio": 0.2, "retry_extra": 54, "retry_window_s": 10,
            "revocation_ms": 5000, "stop_grace_s": 8, "link_mbps": 1000.0,
            "memory_mb": 110, "processor_cores": 0.25, "load_in_answers": True,
            "connect_timeout_ms": 150, "connection_limit": 3000,
            "caller_timeout_s": 60, "seeds": seeds,
        }
        self.settings.update(settings)
        self.path = os.path.join(folder, self.name + ".json")
        self.log_path = os.path.join(folder, self.name + ".log")
        self.process = None

    def start(self):
        with open(self.path, "w", encoding="utf-8") as out:
            json.dump(self.settings, out)
        log = open(self.log_path, "ab")
        self.process = subprocess.Popen(
            [PROGRAM, "serve", "--config", self.path], cwd=ROOT, stdout=log,
            stderr=log, stdin=subprocess.DEVNULL, env=ENVIRONMENT)
        log.close()
        note("%s starts, process %d" % (self.name, self.process.pid))

    def is_ready(self):
        try:
            with socket.create_connection((self.ip, self.ready_port), 1) as sock:
                sock.settimeout(1)
                sock.sendall(b"GET /hornbeamwall/readyz HTTP/1.1\r\nHost: x\r\n"
                             b"Connection: close\r\n\r\n")
                return sock.recv(4096).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_ready(self, timeout_s=15):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if self.is_ready():
                note("%s is ready" % self.name)
                return True
            time.sleep(0.05)
        note("%s is not ready" % self.name)
        return False

    def kill(self, number=signal.SIGKILL):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            note("%s gets signal %d" % (self.name, number))

    def stop(self):
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()
            self.process = None


def make_config(version=5, keys=(KEY,), routes=None, tenants=None):
    """Returns a config with a safe, an unsafe and two streaming routes."""
    def route(name, kind, attempts, timeout=3000, backend="b", **more):
        value = {"name": name, "hostname": HOST, "path_prefix": "/%s/" % name,
                 "route_type": kind, "backend": backend, "timeout_ms": timeout,
                 "latency_goal_ms": 300, "priority": 1, "max_attempts": attempts}
        value.update(more)
        return value
    default = [
        route("safe", "safe", 2), route("unsafe", "unsafe", 1),
        route("stream", "streaming", 2, 15000, resumable=True, gap_target_ms=250),
        route("once", "streaming", 1, 8000, resumable=False, gap_target_ms=250),
        route("open", "safe", 2, anonymous=True),
    ]
    return {
        "version": version, "routes": default if routes is None else routes,
        "backends": [{"name": "b", "health_path": "/healthz"},
                     {"name": "c", "health_path": "/healthz"}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 5000, "idle_timeout_ms": 8000},
        "tenants": tenants if tenants is not None
        else [{"name": "one", "api_keys": list(keys)}],
    }


_ids = 0


def new_id():
    global _ids
    with _lock:
        _ids += 1
        return "%08x%04x" % (os.getpid(), _ids)


def format_request(method, path, identity, body=None, key=KEY, deadline_ms=3000,
                   more=""):
    fields = "%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, path, HOST)
    fields += "X-Hornbeamwall-Attempt-Id: %s\r\n" % identity
    fields += "X-Hornbeamwall-Deadline-Ms: %d\r\n" % deadline_ms
    if key is not None:
        fields += "X-Hornbeamwall-Key: %s\r\n" % key
    if body is not None:
        fields += "Content-Length: %d\r\n" % len(body)
    return (fields + more + "\r\n").encode() + (body or b"")


class Answer:
    def __init__(self, status=0, fields=None, body=b"", complete=False, error=""):
        self.status = status
        self.fields = fields or {}
        self.body = body
        self.complete = complete
        self.error = error

    def __str__(self):
        return "%s %s%s" % (self.status, self.body[:80],
                            "" if self.complete else " incomplete " + self.error)


class Client:
    """A client with one kept connection."""

    def __init__(self, router, timeout_s=10):
        self.router = router
        self.sock = socket.create_connection((router.ip, router.caller_port), 1)
        self.sock.settimeout(timeout_s)
        self.connection = Connection(self.sock)

    def send(self, method, path, body=None, **options):
        identity = new_id()
        note("client sends %s %s %s to %s" % (method, path, identity,
                                              self.router.name))
        self.sock.sendall(format_request(method, path, identity, body, **options))
        return identity

    def receive(self, method="GET"):
        try:
            head = self.connection.read_until(b"\r\n\r\n")
            if head is None:
                return Answer(error="closed")
            line, fields = parse_head(head)
            if not line.startswith("HTTP/1.1 "):
                return Answer(error="no answer: %r" % line[:60])
            status = int(line.split(" ")[1])
            body = b"" if method == "HEAD" or status in (204, 304) \
                else self.connection.read_body(fields)
            if body is None:
                return Answer(status, fields, self.connection.buffer, False, "closed")
            return Answer(status, fields, body, True)
        except OSError as error:
            return Answer(error=repr(error))

    def ask(self, method, path, body=None, **options):
        identity = self.send(method, path, body, **options)
        answer = self.receive(method)
        note("client gets %s for %s" % (answer, identity))
        return identity, answer

    def close(self):
        self.sock.close()


class Site:
    """A store, replicas and routers with their folder."""

    def __init__(self, replicas, routers=1, config=None, store=None, **settings):
        self.folder = tempfile.mkdtemp(prefix="hornbeamwall-")
        self.store = store or Store()
        self.replicas = replicas
        for replica in replicas:
            self.store.put("servers", replica.identity, replica.entry())
        self.store.put("config", "main", config or make_config())
        seeds = ["127.0.0.1:%d" % free_port() for _ in range(min(routers, 3))]
        self.routers = [Router(self.folder, i, self.store, seeds, **settings)
                        for i in range(routers)]

    def start(self):
        for router in self.routers:
            router.start()
        return all([router.wait_ready() for router in self.routers])

    def stop(self):
        for router in self.routers:
            router.stop()
        for replica in self.replicas:
            if isinstance(replica, ReplicaProcess):
                replica.stop()
        for name in os.listdir(self.folder):
            os.unlink(os.path.join(self.folder, name))
        os.rmdir(self.folder)


def main(record_path, trouble, case):
    """Runs CASE, with its trouble or without; exits with its result."""
    open_record(record_path)
    note("trouble: %s" % ("yes" if trouble else "no"))
    try:
        result = case(trouble)
    except Exception as error:  # the case could not run
        note("could not run: %r" % error)
        result = EXIT_NOT_RUN
    note("result: %d" % result)
    with open(record_path, encoding="utf-8") as record:
        print(record.read().splitlines()[-1])
    sys.stdout.flush()
    os._exit(result)
