"""Stand-ins for the platform: discovery, backends and clients. Standard library only, loopback only.

Run as a program it is one backend process:  standins.py backend PORT LOG WORK_MS
"""
import ctypes
import hashlib
import json
import os
import re
import signal
import socket
import subprocess
import sys
import threading
import time

LOOP = "127.0.0.1"


def end_with_parent():
    """In a new process: the system kills it when the process that started it ends, however that ends."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


def free_port():
    with socket.socket() as s:
        s.bind((LOOP, 0))
        return s.getsockname()[1]


class Closed(Exception):
    pass


class Lines:
    """Buffered reading from a socket."""

    def __init__(self, sock):
        self.sock, self.buffer = sock, b""

    def fill(self):
        got = self.sock.recv(65536)
        if not got:
            raise Closed()
        self.buffer += got

    def head(self):
        while b"\r\n\r\n" not in self.buffer:
            self.fill()
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        first, *rest = head.decode("latin-1").split("\r\n")
        return first, {n.strip().lower(): v.strip() for n, v in (line.split(":", 1) for line in rest)}

    def exactly(self, size):
        while len(self.buffer) < size:
            self.fill()
        got, self.buffer = self.buffer[:size], self.buffer[size:]
        return got

    def body(self, headers):
        if "chunked" in headers.get("transfer-encoding", ""):
            whole = b""
            while True:
                while b"\r\n" not in self.buffer:
                    self.fill()
                size, self.buffer = self.buffer.split(b"\r\n", 1)
                n = int(size.split(b";")[0], 16)
                whole += self.exactly(n)
                self.exactly(2)
                if n == 0:
                    return whole
        return self.exactly(int(headers.get("content-length", "0")))


def long_answer(txn, size):
    line = f"{txn} and so on\n".encode()
    return (line * (size // len(line) + 1))[:size]


# ---- a backend: a process of its own, so that it can be stopped and continued

def backend(port, log_path, work_ms):
    """Answers each request with what it got: id, length and digest of the body. Logs each request."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((LOOP, port))
    listener.listen(512)
    log, lock = open(log_path, "a", buffering=1), threading.Lock()

    def note(**what):
        with lock:
            log.write(json.dumps({"at": round(time.time(), 4), **what}) + "\n")

    def serve(sock):
        lines, first = Lines(sock), None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                first = None
                first, headers = lines.head()
                began = time.time()
                body = lines.body(headers)
                method, target, _ = first.split(" ", 2)
                digest = hashlib.sha1(body).hexdigest()
                note(what="ran", txn=headers.get("x-txn"), method=method, target=target, size=len(body),
                     sum=digest, key=headers.get("idempotency-key"), began=round(began, 4))
                time.sleep(work_ms / 1000)
                text = f"{headers.get('x-txn')} {len(body)} {digest}\n".encode()
                wanted = re.search(r"size=(\d+)", target)
                if wanted:   # a long answer: the same line again and again
                    text = long_answer(headers.get("x-txn"), int(wanted.group(1)))
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
                if wanted:
                    note(what="gave its whole answer", txn=headers.get("x-txn"), size=len(text))
        except (Closed, OSError, ValueError) as ended:
            if first:
                # A request whose end never came; and whether its body holds the head of another client's request.
                foreign = re.findall(rb"X-Txn: ([^\r]+)\r", lines.buffer)
                note(what="broken", first=first, why=repr(ended), size=len(lines.buffer),
                     heads_in_body=[txn.decode("latin-1") for txn in foreign])
        finally:
            sock.close()

    while True:
        sock, _ = listener.accept()
        threading.Thread(target=serve, args=(sock,), daemon=True).start()


# ---- discovery: the whole list, and long polls for changes

class Discovery:
    def __init__(self):
        self.version, self.entries, self.changed = 1, {}, {}
        self.lock = threading.Condition()
        self.listener = socket.socket()
        self.listener.bind((LOOP, 0))
        self.listener.listen(64)
        self.address = f"{LOOP}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def set(self, *entries):
        """Adds or changes entries; a new version."""
        with self.lock:
            self.version += 1
            for entry in entries:
                self.entries[entry["id"]] = entry
                self.changed[entry["id"]] = self.version
            self.lock.notify_all()

    def _accept(self):
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        lines = Lines(sock)
        try:
            while True:
                first, headers = lines.head()
                target = first.split(" ")[1]
                index, wait = re.search(r"index=(\d+)", target), re.search(r"wait=(\d+)", target)
                with self.lock:
                    known = int(index.group(1)) if index else None
                    if known is not None:
                        self.lock.wait_for(lambda: self.version > known, min(60, int(wait.group(1)) / 1000 if wait else 0))
                    servers = [e for i, e in self.entries.items()
                               if (known is None and e["state"] != "gone") or (known is not None and self.changed[i] > known)]
                    text = json.dumps({"version": self.version, "full": known is None, "servers": servers}).encode()
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
        except (Closed, OSError):
            sock.close()


def entry(name, port, zone="a", cell=0, kind="std", state="ready"):
    return {"id": name, "addr": f"{LOOP}:{port}", "zone": zone, "kind": kind, "cell": cell, "state": state,
            "weight": 1.0, "started_ms": 0}


# ---- the processes of a test

class Node:
    """One node, started with the command of the deploy file."""

    def __init__(self, fleet, name, settings, limits):
        self.name, self.folder = name, os.path.join(fleet.folder, name)
        os.mkdir(self.folder)
        self.listen = (LOOP, free_port())
        self.config = os.path.join(self.folder, "config.json")
        with open(self.config, "w") as file:
            json.dump({"name": name, "listen": "%s:%d" % self.listen, "discovery": fleet.discovery.address,
                       "limits": limits, "known": {"version": 0, "full": True, "servers": []}, "settings": settings}, file, indent=1)
        env = dict(os.environ, RELAY_NAME=name, RELAY_LISTEN="%s:%d" % self.listen,
                   RELAY_DISCOVERY=fleet.discovery.address, RELAY_CONFIG=self.config, TMPDIR=self.folder)
        self.log = os.path.join(self.folder, "log")
        self.process = subprocess.Popen(["/bin/sh", "-c", fleet.run], cwd=fleet.root, env=env, stdout=subprocess.DEVNULL,
                                        stderr=open(self.log, "w"), preexec_fn=end_with_parent)

    def poll(self):
        return self.process.poll()

    def is_up(self):
        try:
            with socket.create_connection(self.listen, 1) as s:
                s.settimeout(2)
                s.sendall(b"GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n")
                return Lines(s).head()[0].split(" ")[1] == "200"
        except (OSError, Closed):
            return False

    def counters(self):
        try:
            with socket.create_connection(self.listen, 2) as s:
                s.settimeout(2)
                s.sendall(b"GET /counters HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n")
                lines = Lines(s)
                _, headers = lines.head()
                return " ".join(line for line in lines.body(headers).decode().splitlines() if not line.endswith(" 0"))
        except (OSError, Closed) as failed:
            return f"no counters: {failed!r}"


class Fleet:
    """Nodes, backends and discovery. Everything that it started ends with close()."""

    def __init__(self, root, folder, settings, backends, nodes=1, limits=None, work_ms=20, zones=("a",)):
        self.root, self.folder, self.processes = root, folder, {}
        self.discovery = Discovery()
        self.ports, self.logs = {}, {}
        for n in range(backends):
            self.start_backend(f"s-{n}", work_ms)
        self.discovery.set(*(entry(f"s-{n}", self.ports[f"s-{n}"], zones[n % len(zones)], n // 4) for n in range(backends)))
        deploy = open(os.path.join(root, "deploy", "balancer.toml")).read()
        self.run = re.search(r'^run *= *"(.*?)"', deploy, re.M).group(1)
        self.nodes = []
        for n in range(nodes):
            node = Node(self, f"n{n}", dict(settings, instances=nodes), limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024})
            self.nodes.append(node)
            self.processes[node.name] = node.process

    def start_backend(self, name, work_ms):
        self.ports[name] = free_port()
        self.logs[name] = os.path.join(self.folder, name + ".log")
        self.processes[name] = subprocess.Popen(
            [sys.executable, os.path.abspath(__file__), "backend", str(self.ports[name]), self.logs[name], str(work_ms)],
            preexec_fn=end_with_parent)

    def wait_ready(self, seconds=20):
        until = time.time() + seconds
        while time.time() < until:
            if all(node.is_up() for node in self.nodes):
                return all(self.backend_up(p) for p in self.ports.values())
            time.sleep(0.05)
        return False

    @staticmethod
    def backend_up(port, seconds=10):
        until = time.time() + seconds
        while time.time() < until:
            try:
                socket.create_connection((LOOP, port), 1).close()
                return True
            except OSError:
                time.sleep(0.05)
        return False

    def signal(self, name, how):
        self.processes[name].send_signal(how)

    def ran(self):
        """What the backends logged, in the order of time."""
        lines = []
        for name, path in self.logs.items():
            if os.path.exists(path):
                lines += [dict(json.loads(line), backend=name) for line in open(path)]
        return sorted(lines, key=lambda line: line["at"])

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()


if __name__ == "__main__" and sys.argv[1:2] == ["backend"]:
    backend(int(sys.argv[2]), sys.argv[3], float(sys.argv[4]))
