"""A node that may not cancel hand-offs; a client leaves while its long request flows to a backend that stands still."""
import hashlib
import os
import random
import signal
import socket
import struct
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import case
import standins

# Like lernkarten-bayern.toml: no cancel, review-log must never run twice, limits of 0.8 s and 1 s.
SETTINGS = {
    "zone": "a", "instances": 1, "tick": 5000, "discovery": "on_request",
    "bounds": {"max-hand-offs": 6, "cancel": False, "probes": False, "second-copies": True, "retry-after": False,
               "max-retry-after": 1000000, "connect-timeout": 200000, "keepalive": 10000000},
    "rules": {"drain-grace": 250000, "ask-within": 10000000, "fall": 2000000, "fall-multiple": 3.0,
              "warm-within": 24000000, "cold-from": 0.12},
    "workloads": [
        {"name": "deck-read", "semantics": "repeatable", "due-time": 400000, "time-limit": 800000, "billing-value": 5.0},
        {"name": "review-log", "semantics": "once", "due-time": 500000, "time-limit": 1000000, "billing-value": 2.0}]}
BACKENDS, NODES = 6, 4
STANDS_STILL_S = 10.0   # one backend of six, 9 to 23 s
UPLOADS_KB, UPLOAD_LIMIT_S = [3844, 3846, 3848, 3852, 3860, 8192], 1.0   # bodies of up to 32 MB occur
CLIENTS = 10
ROUNDS = 3             # until one breaks the rule: what freed memory holds is chance
SLACK_S = 0.55          # up to half a second after its time an answer only earns nothing; sockets: 50 ms more


def play_round(record, folder):
    fleet = standins.Fleet(case.ROOT, folder, SETTINGS, BACKENDS, NODES)
    breaks, lock, over, sums = [], threading.Lock(), threading.Event(), {}

    def broken(text):
        with lock:
            if len(breaks) < 40:
                breaks.append(text)

    try:
        if not fleet.wait_ready():
            raise case.CouldNotRun("the node or a backend did not come up: " + open(fleet.nodes[0].log).read()[-500:])
        record("run:", fleet.run, "nodes", [node.listen for node in fleet.nodes], "backends", fleet.ports)
        if case.TROUBLE:
            fleet.signal("s-0", signal.SIGSTOP)
            record("SIGSTOP to backend s-0")
        began = time.time()

        def upload(node, kb):
            """Sends a long request at once, waits for its limit and half a second, then leaves, as clients do."""
            txn, body = f"upload-{node.name}-{kb}k", os.urandom(1024) * kb
            sums[txn] = hashlib.sha1(body).hexdigest()
            record("send", txn, "POST /review-log", len(body), "bytes, sum", hashlib.sha1(body).hexdigest())
            try:
                with socket.create_connection(node.listen, 2) as sock:
                    sock.settimeout(UPLOAD_LIMIT_S + 0.5)
                    # Half of what it sends is still in its own buffer when it leaves, so it ends the connection with a reset.
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    sock.sendall((f"POST /review-log HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {txn}\r\n"
                                  f"X-Remaining-Ms: {int(UPLOAD_LIMIT_S * 1000)}\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body)
                    record("answered", txn, standins.Lines(sock).head()[0])
            except (OSError, standins.Closed) as failed:
                record("left", txn, repr(failed))

        def client(node, n):
            """A usual client: one request at a time on a kept connection; opens a new one when it has none."""
            chance, sock, count, resent = random.Random(f"{node.name}-{n}"), None, 0, False
            again = None
            while not over.is_set():
                if again is None:
                    is_post = chance.random() < 0.3
                    body = chance.randbytes(chance.randint(100, 15000)).hex().encode() if is_post else b""
                    txn, count = f"client-{node.name}-{n}-{count}", count + 1
                    head = (f"POST /review-log/{n} HTTP/1.1\r\nContent-Length: {len(body)}\r\n" if is_post
                            else f"GET /deck-read/{n} HTTP/1.1\r\n") + \
                        f"Host: service.internal\r\nX-Txn: {txn}\r\nX-Remaining-Ms: 800\r\n\r\n"
                    again = (txn, body, head)
                    resent = False
                txn, body, head = again
                is_kept = sock is not None
                at = time.time()
                try:
                    if sock is None:
                        sock = socket.create_connection(node.listen, 2)
                    sock.settimeout(0.8 + SLACK_S)
                    sock.sendall(head.encode() + body)
                    lines = standins.Lines(sock)
                    first, headers = lines.head()
                    got, status = lines.body(headers), first.split(" ")[1]
                    record("answered", txn, status, f"after {time.time() - at:.3f} s")
                    wanted = f"{txn} {len(body)} {hashlib.sha1(body).hexdigest()}\n".encode()
                    if status == "200" and got != wanted:
                        broken(f"{txn} was served with what no backend made for it: {got[:80]!r}")
                    if headers.get("connection", "") == "close":
                        sock.close()
                        sock = None
                    again = None
                except (OSError, standins.Closed) as failed:
                    if sock is not None:
                        sock.close()
                    sock = None
                    if over.is_set():
                        return
                    if is_kept and not resent and not isinstance(failed, socket.timeout):
                        resent = True   # the close may have crossed the request: once more, on a new connection
                        continue
                    broken(f"lost: {txn} on a {'kept' if is_kept else 'new'} connection had no answer: {failed!r}")
                    again = None
                    time.sleep(0.2)
                over.wait(chance.uniform(0.1, 0.4))

        uploads = [threading.Thread(target=upload, args=(node, kb), daemon=True) for node in fleet.nodes for kb in UPLOADS_KB]
        for one in uploads:
            one.start()
        time.sleep(2.5)   # all uploading clients are gone
        clients = [threading.Thread(target=client, args=(node, n), daemon=True) for node in fleet.nodes for n in range(CLIENTS)]
        for one in clients:
            one.start()
        continued = not case.TROUBLE
        while time.time() < began + STANDS_STILL_S + 5:
            if not continued and time.time() >= began + STANDS_STILL_S:
                fleet.signal("s-0", signal.SIGCONT)
                record("SIGCONT to backend s-0")
                continued = True
            time.sleep(0.02)
            if any(node.poll() is not None for node in fleet.nodes):
                time.sleep(0.5)
                break
        for node in fleet.nodes:
            if node.poll() is not None:
                with lock:
                    breaks.insert(0, f"crash: node {node.name} ended by itself with {node.poll()} (below 0: the signal), "
                                  f"{time.time() - began:.1f} s after the begin; nothing was sent to it")
        over.set()
        for one in clients:
            one.join(3)
        sent_to = [line for line in fleet.ran() if line["what"] == "ran"]
        for line in sent_to:
            if line["txn"] in sums and line["sum"] != sums[line["txn"]]:
                breaks.insert(0, f"nobody sent this: {line['txn']} ran at {line['backend']} with a body that its client did not send")
            record("ran at", line["backend"], line["txn"], line["target"], line["size"], "bytes, sum", line["sum"])
        for line in fleet.ran():
            if line["what"] == "broken":
                record("not whole at", line["backend"], line["first"], line["why"], line["size"], "bytes of body; heads of other requests in it:",
                       line["heads_in_body"])
        for node in fleet.nodes:
            record(node.name, "log:", open(node.log).read(), "counters:", node.counters() if node.poll() is None else "-")
        return breaks
    finally:
        over.set()
        fleet.close()


def play(record, folder):
    for number in range(ROUNDS):
        record("round", number)
        sub = os.path.join(folder, str(number))
        os.mkdir(sub)
        breaks = play_round(record, sub)
        if breaks:
            return breaks
    return []


if len(sys.argv) != 2:
    sys.exit("usage: play.py RECORD   (run.sh starts it with record.txt of its folder)")
case.main(sys.argv[1], play)
