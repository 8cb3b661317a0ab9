"""Clients that read a long answer slowly and without a pause."""
import hashlib
import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import case
import standins

# Like render-portal.toml.
SETTINGS = {
    "zone": "a", "instances": 1, "tick": 5000, "discovery": "on_request",
    "bounds": {"max-hand-offs": 3, "cancel": True, "probes": False, "second-copies": True, "retry-after": False,
               "max-retry-after": 2500000, "connect-timeout": 250000, "keepalive": 10000000},
    "rules": {"drain-grace": 500000, "ask-within": 10000000, "fall": 1000000, "fall-multiple": 3.0,
              "warm-within": 24000000, "cold-from": 0.12},
    "workloads": [
        {"name": "asset-search", "semantics": "repeatable", "due-time": 1500000, "time-limit": 6000000, "billing-value": 1.0},
        {"name": "preview-view", "semantics": "repeatable", "due-time": 600000, "time-limit": 1500000, "billing-value": 3.0}]}
BACKENDS = 4
LIMIT_MS = 3000         # a try is given up after 42 to 55% of the workload's 6 s; it counts for an answer's first bytes
# Kilobytes, and kilobytes a second that the client reads: answers of up to 32 MB occur; a body may come at 64 a second.
CLIENTS = [(4500, 128), (6000, 128), (6000, 160), (8000, 192)]
LONGEST_S = 85


def play(record, folder):
    fleet = standins.Fleet(case.ROOT, folder, SETTINGS, BACKENDS)
    breaks, lock = [], threading.Lock()
    try:
        node = fleet.nodes[0]
        if not fleet.wait_ready():
            raise case.CouldNotRun("the node or a backend did not come up: " + open(node.log).read()[-500:])
        record("run:", fleet.run, "node", node.listen, "backends", fleet.ports)

        def client(kb, rate):
            txn, size = f"read-{kb}k-at-{rate}", kb * 1024
            record("send", txn, f"GET /asset-search/all?size={size} X-Remaining-Ms {LIMIT_MS}",
                   f"reads {rate} kB/s" if case.TROUBLE else "reads at full speed")
            digest, got, longest_pause, status = hashlib.sha1(), 0, 0.0, "none"
            try:
                with socket.create_connection(node.listen, 2) as sock:
                    sock.settimeout(10)
                    sock.sendall((f"GET /asset-search/all?size={size} HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {txn}\r\n"
                                  f"X-Remaining-Ms: {LIMIT_MS}\r\n\r\n").encode())
                    sent, lines = time.time(), standins.Lines(sock)
                    first, headers = lines.head()
                    status, length = first.split(" ")[1], int(headers["content-length"])
                    record("answer begins", txn, first, "Content-Length", length, f"after {time.time() - sent:.3f} s")
                    digest.update(lines.buffer)
                    got, began, last = len(lines.buffer), time.time(), time.time()
                    while got < length:
                        if case.TROUBLE and got > rate * 1000 * (time.time() - began):
                            time.sleep(0.01)
                            continue
                        piece = sock.recv(16384)
                        if not piece:
                            raise standins.Closed()
                        longest_pause, last = max(longest_pause, time.time() - last), time.time()
                        digest.update(piece)
                        got += len(piece)
                whole = hashlib.sha1(standins.long_answer(txn, size)).hexdigest() == digest.hexdigest()
                record("whole answer" if whole else "wrong answer", txn, got, "bytes", f"{time.time() - sent:.1f} s")
                if status == "200" and not whole:
                    with lock:
                        breaks.append(f"{txn} was served with what no backend made for it")
            except (OSError, standins.Closed) as failed:
                text = (f"lost: {txn}: status {status}, the answer was cut after {got} of {size} bytes, {time.time() - sent:.1f} s after the "
                        f"request ({failed!r}); the client had read without a pause over {longest_pause:.2f} s")
                record(text)
                with lock:
                    breaks.append(text)

        clients = [threading.Thread(target=client, args=one, daemon=True) for one in CLIENTS]
        for one in clients:
            one.start()
        until = time.time() + LONGEST_S
        for one in clients:
            one.join(max(0, until - time.time()))
        if any(one.is_alive() for one in clients):
            raise case.CouldNotRun("a client was still reading")
        if node.poll() is not None:
            breaks.append(f"crash: the node ended by itself with {node.poll()}")
        for line in fleet.ran():
            record(line["what"], line["backend"], line.get("txn", line.get("first")), line.get("size", ""))
        record("node's log:", open(node.log).read(), "counters:", node.counters())
        return breaks
    finally:
        fleet.close()


if len(sys.argv) != 2:
    sys.exit("usage: play.py RECORD   (run.sh starts it with record.txt of its folder)")
case.main(sys.argv[1], play)
