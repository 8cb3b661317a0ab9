"""A new configuration takes away the classes with the longest time limits; later the node is told to end, and killed on time."""
import os
import random
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
import stand  # noqa: E402

CLIENTS = 8


def case(rig):
    record = rig.record

    def work(call):
        time.sleep(random.uniform(0.3, 0.6))
        return b"done " + call.txn.encode()

    discovery = stand.Discovery(record)
    backends = [stand.Backend(record, f"s{n}", work) for n in range(4)]
    for backend in backends:
        discovery.add(backend)
    listen = stand.free_address("127.1.0.8")
    path = os.path.join(rig.tmp, "config.json")
    kept = [stand.workload("preview-view", "repeatable", 1500, 900),
            stand.workload("revision-log", "by_key", 2000, 1200, group="cell", window=2000000)]
    all_classes = kept + [stand.workload("asset-search", "repeatable", 6000, 1500),
                          stand.workload("render-order", "by_key", 3000, 1500, group="zone", window=3000000)]

    def configure(classes):
        stand.write_config(path, stand.config("n1", listen, discovery.address, stand.settings(classes)))
        return max(w["time-limit"] for w in classes) / 1e6

    configure(all_classes)
    node = rig.start(path)
    stand.wait_ready(listen)

    stop = threading.Event()
    lock = threading.Lock()
    count = [0]
    unanswered = []  # (id, seconds from SIGTERM at which it was sent, what came)
    ended = [None]  # when SIGTERM was sent

    def client():
        connection = None
        while not stop.is_set():
            with lock:
                count[0] += 1
                n = count[0]
            txn = f"r{n}"
            sent = time.monotonic()
            try:
                connection = connection or stand.connect(listen)
                if n % 2:
                    answer = stand.ask(listen, "GET", "/preview-view/x", {"X-Txn": txn, "X-Remaining-Ms": "1500"}, wait=2.0,
                                       connection=connection)
                else:
                    answer = stand.ask(listen, "POST", "/revision-log/x", {"X-Txn": txn, "X-Remaining-Ms": "2000", "Idempotency-Key": txn},
                                       b"log", wait=2.5, connection=connection)
            except OSError as refused:  # no connection, or one that ended before the request was written
                record(f"client {txn}: {refused}")
                connection = None
                time.sleep(0.05)
                continue
            record(f"client {txn}: {answer}")
            if not answer.whole:
                with lock:
                    unanswered.append((txn, sent, str(answer)))
            if not answer.whole or answer.headers.get("connection", "").lower() == "close":
                connection.close()
                connection = None

    threads = [threading.Thread(target=client, daemon=True) for _ in range(CLIENTS)]
    for thread in threads:
        thread.start()
    time.sleep(1)
    longest = configure(kept if stand.TROUBLE else all_classes)
    rig.signal(node, signal.SIGHUP)
    time.sleep(7)  # no request of the old classes can be under way any more
    rig.signal(node, signal.SIGTERM)
    ended[0] = time.monotonic()
    kill_at = ended[0] + min(longest, 3.0) + 0.7
    while time.monotonic() < kill_at and node.poll() is None:
        time.sleep(0.002)
    record(f"{time.monotonic() - ended[0]:.3f} s after SIGTERM, longest limit of the settings {longest} s: exit code {node.poll()}")
    if node.poll() is None:
        rig.signal(node, signal.SIGKILL)
    time.sleep(0.3)
    stop.set()
    for thread in threads:
        thread.join(5)
    ran = {txn for backend in backends for _, txn, _ in backend.runs}
    # Only what the node had surely taken: a backend ran it for this client.
    return [f"{txn}, sent {sent - ended[0]:+.3f} s from SIGTERM and run by a backend, was never answered ({what})"
            for txn, sent, what in unanswered if txn in ran]


stand.run_case(HERE, case)
