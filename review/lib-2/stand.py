"""Stand-ins for clients, backends, discovery and the platform, for the cases 6 to 10. Standard library only; all on loopback.

They follow the operators' protocol page: a backend begins a request with its last byte, discovery answers a whole list or a
watch, a client counts an answer by its last byte.
"""
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run: a line each, with the seconds since the start."""

    def __init__(self, folder):
        self.lock = threading.Lock()
        self.began = time.monotonic()
        self.out = open(os.path.join(folder, "record.txt"), "w")
        self(f"begin trouble={int(TROUBLE)}")

    def __call__(self, text):
        with self.lock:
            self.out.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
            self.out.flush()


# ---- the platform

class Rig:
    """Starts processes by the deploy file and ends all of them, whatever happens."""

    def __init__(self, folder, seconds=110):
        self.record = Record(folder)
        self.processes = []
        self.tmp = tempfile.mkdtemp(prefix="review-")
        timer = threading.Timer(seconds, self._too_long)
        timer.daemon = True
        timer.start()

    def _too_long(self):
        self.record("verdict 2: the case took too long")
        self.end()
        os._exit(2)

    def command(self):
        with open(os.path.join(ROOT, "deploy", "balancer.toml")) as deploy:
            return re.search(r'^run = "([^"]*)"', deploy.read(), re.M).group(1)

    def program(self):
        return os.path.join(ROOT, "build", "troutstage")

    def start(self, node, env=None, pass_fd=None, log="node.log"):
        """Starts a node by the deploy file's `run`, through /bin/sh from the root; exec makes it the started process."""
        out = open(os.path.join(self.tmp, log), "ab")
        given = {k: v for k, v in os.environ.items() if not k.startswith(("RELAY_", "TROUTSTAGE_"))}
        given.update({"TMPDIR": self.tmp, "RELAY_CONFIG": node})
        given.update(env or {})
        process = subprocess.Popen(["/bin/sh", "-c", self.command()], cwd=ROOT, env=given, stdin=subprocess.DEVNULL,
                                   stdout=out, stderr=out, pass_fds=[pass_fd] if pass_fd is not None else [])
        self.processes.append(process)
        return process

    def signal(self, process, number):
        self.record(f"signal {signal.Signals(number).name} to {process.pid}")
        process.send_signal(number)

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
        for process in self.processes:
            process.wait()
        shutil.rmtree(self.tmp, ignore_errors=True)

    def log_text(self, log="node.log"):
        with open(os.path.join(self.tmp, log), errors="replace") as text:
            return text.read()


def run_case(folder, case, seconds=110):
    """Runs case(rig), which returns a list of breaks of the rule; exits with 1, 0 or 2."""
    rig = Rig(folder, seconds)
    code = 2
    try:
        breaks = case(rig)
        for text in breaks:
            rig.record(f"BREAK {text}")
            print(f"BREAK {text}")
        code = 1 if breaks else 0
        rig.record(f"verdict {code}: " + ("the rule was broken" if breaks else "the rule held"))
    except Exception as failure:  # the case could not run
        import traceback
        rig.record("verdict 2: " + traceback.format_exc().replace("\n", " | "))
        print(f"could not run: {failure}", file=sys.stderr)
    finally:
        try:
            rig.record("log of the node: " + rig.log_text()[-4000:].replace("\n", " | "))
        except OSError:
            pass
        rig.end()
    sys.exit(code)


def free_address(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


def workload(name, semantics, limit_ms, due_ms=None, **more):
    w = {"name": name, "semantics": semantics, "due-time": (due_ms or limit_ms) * 1000, "time-limit": limit_ms * 1000,
         "billing-value": 1.0, "overdue-billing-value": 0.3}
    w.update(more)
    return w


def settings(workloads, **bounds):
    b = {"max-hand-offs": 3, "cancel": True, "probes": False, "second-copies": True, "retry-after": False, "max-retry-after": 0,
         "connect-timeout": 250000, "keepalive": 10000000}
    b.update(bounds)
    return {"zone": "a", "zones": ["a", "b"], "instances": 1, "tick": 5000, "discovery": "on_request", "bounds": b,
            "rules": {"drain-grace": 500000, "ask-within": 10000000, "fall": 1000000, "fall-multiple": 3.0,
                      "warm-within": 20000000, "cold-from": 0.12, "grace-to-answer": 20000},
            "workloads": workloads}


def config(name, listen, discovery, how, **more):
    c = {"name": name, "listen": listen, "discovery": discovery, "limits": {"sockets": 1024, "memory_mb": 192},
         "known": {"version": 0, "full": True, "servers": []}, "settings": how}
    c.update(more)
    return c


def write_config(path, value):
    """Replaces the file in one step, as an operator's tool does."""
    with open(path + ".new", "w") as out:
        json.dump(value, out)
    os.rename(path + ".new", path)


def wait_ready(address, seconds=10):
    limit = time.monotonic() + seconds
    while time.monotonic() < limit:
        try:
            if ask(address, "GET", "/up", {}, wait=1).status == 200:
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise RuntimeError(f"{address} is not ready")


# ---- discovery

class Discovery:
    def __init__(self, record, host="127.0.0.2"):
        self.record = record
        self.changed = threading.Condition()
        self.version = 1
        self.history = []  # (version, entry)
        self.servers = {}
        self.listener = socket.create_server((host, 0), backlog=64)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def tell(self, entry):
        with self.changed:
            self.version += 1
            self.history.append((self.version, entry))
            if entry["state"] == "gone":
                self.servers.pop(entry["id"], None)
            else:
                self.servers[entry["id"]] = entry
            self.record(f"discovery version {self.version}: {json.dumps(entry)}")
            self.changed.notify_all()

    def add(self, backend, **more):
        entry = {"id": backend.name, "addr": backend.address, "zone": "a", "kind": "m", "cell": 1, "state": "ready", "weight": 1.0,
                 "started_ms": 0}
        entry.update(more)
        self.tell(entry)

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        stream = connection.makefile("rb")
        try:
            while True:
                line = stream.readline().decode()
                while stream.readline() not in (b"\r\n", b""):
                    pass
                if not line:
                    return
                index, wait = re.search(r"index=(\d+)", line), re.search(r"wait=(\d+)", line)
                with self.changed:
                    if index:
                        known = int(index.group(1))
                        limit = time.monotonic() + (int(wait.group(1)) / 1000 if wait else 0)
                        while self.version <= known and time.monotonic() < limit:
                            self.changed.wait(limit - time.monotonic())
                        news = [e for v, e in self.history if v > known]
                        told = {"version": self.version, "full": False, "servers": news}
                    else:
                        told = {"version": self.version, "full": True, "servers": list(self.servers.values())}
                body = json.dumps(told).encode()
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except OSError:
            pass
        finally:
            connection.close()


# ---- backends

class Call:
    def __init__(self, backend, connection, head, method, path, headers, body):
        self.backend, self.connection, self.head = backend, connection, head
        self.method, self.path, self.headers, self.body = method, path, headers, body
        self.txn = headers.get("x-txn", "")


class Backend:
    """handler(call) runs the request and returns the answer's body, or None if it wrote an answer (or nothing) itself.

    Lines of a head end with CR LF or with a bare LF, as RFC 9112 (2.2) lets every HTTP/1.1 server read them, and chunks go before a
    length (6.3)."""

    def __init__(self, record, name, handler, host="127.0.0.3"):
        self.record, self.name, self.handler = record, name, handler
        self.lock = threading.Lock()
        self.runs = []  # (time, txn, path)
        self.listener = socket.create_server((host, 0), backlog=128)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    @staticmethod
    def _body(stream, headers):
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                line = stream.readline()
                if not line:
                    return None
                size = int(line.split(b";")[0].strip() or b"0", 16)
                if size == 0:
                    while stream.readline().strip():
                        pass
                    return body
                body += stream.read(size)
                stream.readline()
        length = int(headers.get("content-length", "0"))
        body = stream.read(length) if length else b""
        return body if len(body) == length else None

    def _serve(self, connection):
        stream = connection.makefile("rb")
        try:
            while True:
                first = stream.readline()
                if not first:
                    return
                if not first.strip():
                    continue  # a server should ignore an empty line before a request (RFC 9112, 2.2)
                head, headers = [first], {}
                while True:
                    line = stream.readline()
                    if not line:
                        return
                    if not line.strip():
                        break
                    head.append(line)
                    name, _, value = line.decode("latin-1").partition(":")
                    headers[name.strip().lower()] = value.strip()
                parts = first.decode("latin-1").split()
                if len(parts) != 3:
                    connection.sendall(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                    return
                body = self._body(stream, headers)
                if body is None:
                    return
                call = Call(self, connection, b"".join(head), parts[0], parts[1], headers, body)
                if not call.txn:  # the protocol: one with no id is answered 404
                    self.record(f"backend {self.name}: {parts[0]} {parts[1]} without an id, 404")
                    connection.sendall(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    continue
                with self.lock:
                    self.runs.append((time.monotonic(), call.txn, call.path))
                self.record(f"backend {self.name}: runs {parts[0]} {parts[1]} id={call.txn} body={len(body)} "
                            f"told={headers.get('x-remaining-ms')}")
                answer = self.handler(call)
                if answer is not None:
                    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer) + answer)
        except (OSError, ValueError):
            pass
        finally:
            stream.close()
            connection.close()


# ---- clients

class Answer:
    status = 0  # 0: none
    body = b""
    whole = False
    why = ""
    took = 0.0
    headers = None

    def __str__(self):
        return f"status={self.status} whole={self.whole} bytes={len(self.body)} {self.why} took={self.took:.3f}"


def connect(address, seconds=2):
    host, port = address.rsplit(":", 1)
    connection = socket.create_connection((host, int(port)), timeout=seconds)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def read_answer(connection, limit):
    """Reads one answer up to the moment `limit`; it is whole only if its framing says so."""
    answer, data = Answer(), b""

    def more():
        nonlocal data
        connection.settimeout(max(0.001, limit - time.monotonic()))
        piece = connection.recv(65536)
        if not piece:
            raise EOFError
        data += piece

    try:
        while b"\r\n\r\n" not in data:
            more()
        head, data = data.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        answer.status = int(lines[0].split()[1])
        answer.headers = {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:])}
        if answer.headers.get("transfer-encoding") == "chunked":
            while True:
                while b"\r\n" not in data:
                    more()
                line, data = data.split(b"\r\n", 1)
                size = int(line.split(b";")[0], 16)
                while len(data) < size + 2:
                    more()
                answer.body += data[:size]
                data = data[size + 2:]
                if size == 0:
                    break
        else:
            length = int(answer.headers["content-length"])
            while len(data) < length:
                more()
            answer.body, data = data[:length], data[length:]
        answer.whole = True
    except socket.timeout:
        answer.why = "time over"
    except EOFError:
        answer.why = "closed"
    except OSError as broken:
        answer.why = type(broken).__name__
    if not answer.whole and not answer.body:
        answer.body = data
    return answer


def head_of(method, path, headers, length=None):
    lines = [f"{method} {path} HTTP/1.1", "Host: service.internal"] + [f"{k}: {v}" for k, v in headers.items()]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def ask(address, method, path, headers, body=None, wait=5.0, connection=None):
    own = connection is None
    connection = connection or connect(address)
    try:
        connection.sendall(head_of(method, path, headers, None if body is None else len(body)) + (body or b""))
        sent = time.monotonic()
        answer = read_answer(connection, sent + wait)
        answer.took = time.monotonic() - sent
        return answer
    finally:
        if own:
            connection.close()
