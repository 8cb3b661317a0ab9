"""A client sends a long body slowly; the backend's long answer pauses for 1.2 s, well inside the client's time."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
import stand  # noqa: E402

LIMIT = 3.4  # seconds that the client waits, from the last byte of its request
BODY = 400000  # bytes of the request
ANSWER = 200000
PAUSE = 1.2


def case(rig):
    record = rig.record
    given = {}  # id: when the backend had given the whole answer

    def work(call):
        # 100 kB a second for 1.9 s, a pause, and the rest.
        call.connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % ANSWER)
        part = (ANSWER - 4000) // 49
        began = time.monotonic()
        for n in range(49):
            call.connection.sendall(b"a" * part)
            time.sleep(max(0.0, began + (n + 1) * 0.039 - time.monotonic()))
        time.sleep(PAUSE)
        call.connection.sendall(b"z" * (ANSWER - 49 * part))
        given[call.txn] = time.monotonic()
        record(f"backend {call.backend.name}: gave the last byte of the answer to {call.txn}")

    discovery = stand.Discovery(record)
    backend = stand.Backend(record, "s0", work)
    discovery.add(backend)
    listen = stand.free_address("127.1.0.10")
    path = os.path.join(rig.tmp, "config.json")
    classes = [stand.workload("render-order", "by_key", int(LIMIT * 1000), int(LIMIT * 1000), group="zone", window=3000000),
               stand.workload("payment", "once", int(LIMIT * 1000), int(LIMIT * 1000))]
    stand.write_config(path, stand.config("n1", listen, discovery.address, stand.settings(classes)))
    rig.start(path)
    stand.wait_ready(listen)
    breaks = []
    for n, kind in enumerate(["payment", "render-order", "payment"]):
        txn = f"u{n}"
        headers = {"X-Txn": txn, "X-Remaining-Ms": str(int(LIMIT * 1000)), "Idempotency-Key": txn}
        connection = stand.connect(listen)
        began = time.monotonic()
        connection.sendall(stand.head_of("POST", f"/{kind}/x", headers, BODY))
        for at in range(0, BODY, 4000):
            connection.sendall(b"x" * min(4000, BODY - at))
            if stand.TROUBLE:  # 96 kB a second
                time.sleep(max(0.0, began + (at + 4000) / 96000 - time.monotonic()))
        sent = time.monotonic()
        record(f"client {txn}: {BODY} bytes sent in {sent - began:.2f} s")
        answer = stand.read_answer(connection, sent + LIMIT)
        took = time.monotonic() - sent
        record(f"client {txn}: {answer}, ended {took:.3f} s after the last byte of its request")
        connection.close()
        time.sleep(max(0.0, sent + LIMIT + 0.3 - time.monotonic()))
        whole_at = given.get(txn, sent + 99) - sent
        if not answer.whole and took < LIMIT - 0.1 and whole_at < LIMIT - 0.1:
            breaks.append(f"{txn}: cut after {took:.3f} s with {len(answer.body)} of {ANSWER} bytes; the backend gave all within {whole_at:.3f} s, "
                          f"the client waits {LIMIT} s")
    return breaks


stand.run_case(HERE, case)
