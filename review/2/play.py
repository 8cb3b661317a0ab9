"""Long requests that their clients have sent whole, while a backend stands still and doesn't read them."""
import fcntl
import hashlib
import os
import signal
import socket
import struct
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
        {"name": "render-order", "semantics": "by_key", "group": "zone", "window": 3000000, "due-time": 1000000,
         "time-limit": 3000000, "billing-value": 5.0},
        {"name": "preview-view", "semantics": "repeatable", "due-time": 600000, "time-limit": 1500000, "billing-value": 3.0}]}
BACKENDS, NODES = 6, 4
STANDS_STILL_S = 10.0   # one backend of six (17%; up to 19%), 9 to 23 s
LIMIT_S = 1.5           # a try is given up after 42 to 55% of the workload's 3 s
SLACK_S = 0.55          # up to half a second after its time an answer only earns nothing; sockets: 50 ms more
SIZES_KB = [3900, 3940, 3960, 4000, 4200, 5200]   # to each node; bodies of up to 32 MB occur
ROUNDS = 3
SIOCOUTQ = 0x5411       # bytes that the other side's machine has not acknowledged


def play_round(record, folder, number):
    fleet = standins.Fleet(case.ROOT, folder, SETTINGS, BACKENDS, NODES)
    breaks, lock = [], threading.Lock()
    try:
        if not fleet.wait_ready():
            raise case.CouldNotRun("the node or a backend did not come up: " + open(fleet.nodes[0].log).read()[-500:])
        record("round", number, "run:", fleet.run, "nodes", [node.listen for node in fleet.nodes], "backends", fleet.ports)
        if case.TROUBLE:
            fleet.signal("s-0", signal.SIGSTOP)
            record("SIGSTOP to backend s-0")

        def upload(node, kb):
            txn, body = f"r{number}-{node.name}-{kb}k", os.urandom(1024) * kb
            record("send", txn, "POST /render-order", len(body), "bytes, sum", hashlib.sha1(body).hexdigest(),
                   f"X-Remaining-Ms {int(LIMIT_S * 1000)}")
            with socket.create_connection(node.listen, 2) as sock:
                sock.settimeout(20)
                sock.sendall((f"POST /render-order HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {txn}\r\nIdempotency-Key: k-{txn}\r\n"
                              f"X-Remaining-Ms: {int(LIMIT_S * 1000)}\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body)
                written, acknowledged = time.time(), None
                record("written whole", txn)
                # The client waits as long as it said and half a second more, the longest that the rule has room for.
                sock.settimeout(0.005)
                lines = standins.Lines(sock)
                while time.time() < written + LIMIT_S + SLACK_S:
                    if acknowledged is None and struct.unpack("i", fcntl.ioctl(sock, SIOCOUTQ, b"\0" * 4))[0] == 0:
                        acknowledged = time.time()
                        record("last byte acknowledged by the node's machine", txn)
                    try:
                        record("answered", txn, lines.head()[0], f"{time.time() - written:.3f} s after the last byte")
                        return
                    except socket.timeout:
                        pass
                    except (OSError, standins.Closed) as failed:
                        with lock:
                            breaks.append(f"lost: {txn} was closed with no answer: {failed!r}")
                        return
                with lock:
                    breaks.append(f"lost: {txn}, {len(body)} bytes, had no answer {time.time() - written:.2f} s after its last byte "
                                  f"was written (limit {LIMIT_S} s); last byte "
                                  + ("acknowledged by the node's machine" if acknowledged else "in the sender's buffer"))
                record(breaks[-1])
                # How late the answer comes, for the record only.
                sock.settimeout(max(0.01, began + STANDS_STILL_S + 2 - time.time()))
                try:
                    record("answered too late", txn, lines.head()[0], f"{time.time() - written:.3f} s after the last byte")
                except (OSError, standins.Closed) as failed:
                    record("no answer at all", txn, repr(failed), f"{time.time() - written:.3f} s after the last byte")

        began = time.time()
        uploads = [threading.Thread(target=upload, args=(node, kb), daemon=True) for node in fleet.nodes for kb in SIZES_KB]
        for one in uploads:
            one.start()
        time.sleep(STANDS_STILL_S)
        if case.TROUBLE:
            fleet.signal("s-0", signal.SIGCONT)
            record("SIGCONT to backend s-0")
        for one in uploads:
            one.join(6)
        for node in fleet.nodes:
            if node.poll() is not None:
                breaks.append(f"crash: node {node.name} ended by itself, signal or code {node.poll()}")
        time.sleep(0.3)
        for line in fleet.ran():
            record(line["what"], line["backend"], line.get("txn", line.get("first")), line.get("size", ""), line.get("sum", ""))
        for node in fleet.nodes:
            record(node.name, "counters:", node.counters())
        return breaks
    finally:
        fleet.close()


def play(record, folder):
    breaks = []
    for number in range(ROUNDS):
        sub = os.path.join(folder, str(number))
        os.mkdir(sub)
        breaks += play_round(record, sub, number)
        if breaks:
            break
    return breaks


if len(sys.argv) != 2:
    sys.exit("usage: play.py RECORD   (run.sh starts it with record.txt of its folder)")
case.main(sys.argv[1], play)
