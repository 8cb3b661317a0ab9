"""A bad client hides a second request behind a bare line end in X-Pressure; what do the backends run?"""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
import stand  # noqa: E402


def case(rig):
    record = rig.record
    discovery = stand.Discovery(record)
    backends = [stand.Backend(record, f"s{n}", lambda call: b"done " + call.txn.encode()) for n in range(3)]
    for backend in backends:
        discovery.add(backend)
    listen = stand.free_address("127.1.0.6")
    path = os.path.join(rig.tmp, "config.json")
    classes = [stand.workload("preview-view", "repeatable", 1500, 600),
               stand.workload("render-order", "by_key", 3000, 1000, group="zone", window=3000000),
               stand.workload("payment", "once", 3000, 1000)]
    stand.write_config(path, stand.config("n1", listen, discovery.address, stand.settings(classes)))
    rig.start(path)
    stand.wait_ready(listen)

    sent = set()  # the ids of all requests that a client sent
    breaks = []

    def usual(n):
        txn = f"usual-{n}"
        sent.add(txn)
        if n % 2:
            answer = stand.ask(listen, "GET", f"/preview-view/{n}", {"X-Txn": txn, "X-Remaining-Ms": "1400"})
        else:
            answer = stand.ask(listen, "POST", f"/payment/{n}", {"X-Txn": txn, "X-Remaining-Ms": "2500"}, b"pay")
        record(f"client {txn}: {answer}")
        if answer.status == 200 and answer.body != b"done " + txn.encode():
            breaks.append(f"client {txn} got what is not its own: {answer.body!r}")

    for n in range(4):
        usual(n)
    for n in range(6):
        # One request, of one id, in the node's eyes: what stands in its body or in its header's value is data.
        outer, inner = f"outer-{n}", f"inner-{n}"
        sent.add(outer)
        hidden = stand.head_of("POST", f"/payment/hidden-{n}", {"X-Txn": inner, "X-Remaining-Ms": "2000"}, 3) + b"pay"
        if n % 2:  # a length, and chunks behind a bare line end
            body = b"0\r\n\r\n" + hidden
            pressure = "util=0.5\nTransfer-Encoding: chunked" if stand.TROUBLE else "util=0.5"
            head = stand.head_of("POST", f"/payment/{outer}", {"X-Txn": outer, "X-Remaining-Ms": "2500", "X-Pressure": pressure}, len(body))
        else:  # an empty line of bare line ends
            body = b""
            pressure = "util=0.5\n\n" + hidden.decode("latin-1").replace("\r\n", "\n") if stand.TROUBLE else "util=0.5"
            head = stand.head_of("GET", f"/preview-view/{outer}", {"X-Txn": outer, "X-Remaining-Ms": "1400", "X-Pressure": pressure})
        record(f"client sends {outer}: {head + body!r}")
        connection = stand.connect(listen)
        connection.sendall(head + body)
        answer = stand.read_answer(connection, time.monotonic() + 3)
        record(f"client {outer}: {answer} {answer.body!r}")
        connection.close()
        usual(10 + n)
    time.sleep(0.5)
    for n in range(20, 24):
        usual(n)

    for backend in backends:
        for _, txn, where in backend.runs:
            if txn not in sent:
                breaks.append(f"backend {backend.name} ran {where} with the id {txn}, which no client sent as a request")
    return breaks


stand.run_case(HERE, case)
