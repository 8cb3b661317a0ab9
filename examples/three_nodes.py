#!/usr/bin/env python3
"""Three nodes with membership on, before the toy backends, all on loopback: see the README.

    python3 examples/three_nodes.py [PROGRAM]      (build/troutstage, if not told)

Commands on standard input: stop N, go N (SIGSTOP, SIGCONT), kill N, start N, cut N, deafen N, heal N, members, quit.
"""
import json
import os
import pathlib
import select
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import urllib.request

import toy_fleet

HERE = pathlib.Path(__file__).parent
NODES = 3
LISTEN, MGMT, PEER, RELAY = 8081, 9081, 7946, 7960  # first ports: clients, operators, datagrams, relays between
cut, deaf = set(), set()


def relay():
    """What node i sends to node j goes by a socket of its own, so that it can be cut."""
    sockets = {}
    for i in range(NODES):
        for j in range(NODES):
            if i != j:
                s = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                s.bind(("127.0.0.1", RELAY + i * NODES + j))
                sockets[s] = (i, j)
    by_pair = {pair: s for s, pair in sockets.items()}
    while True:
        for s in select.select(list(sockets), [], [])[0]:
            i, j = sockets[s]
            data = s.recv(2048)
            if i not in cut and j not in cut and j not in deaf:
                by_pair[(j, i)].sendto(data, ("127.0.0.1", PEER + j))


def configuration(folder, n):
    config = json.loads((HERE / "node.json").read_text())
    config.update(
        name=f"n{n}", listen=f"127.0.0.1:{LISTEN + n}", mgmt=f"127.0.0.1:{MGMT + n}", peer_listen=f"127.0.0.1:{PEER + n}",
        peers=[f"127.0.0.1:{PEER + n if k == n else RELAY + n * NODES + k}" for k in range(NODES)])
    config.pop("seed", None)
    config["settings"]["instances"] = NODES
    path = pathlib.Path(folder) / f"n{n}.json"
    path.write_text(json.dumps(config))
    return str(path)


def members(n):
    try:
        with urllib.request.urlopen(f"http://127.0.0.1:{MGMT + n}/v1/members", timeout=1) as answer:
            told = json.load(answer)
    except OSError as wrong:
        return f"n{n}: no answer ({wrong})"
    states = ", ".join(f"{m['name']} {m['state']}" for m in told["members"])
    return f"n{n}: view {told['view']['number']} of {told['view']['size']}, in majority {told['in_majority']}: {states}"


def main():
    program = sys.argv[1] if len(sys.argv) > 1 else "build/troutstage"
    toy_fleet.start()
    threading.Thread(target=relay, daemon=True).start()
    running = {}
    with tempfile.TemporaryDirectory() as folder:
        paths = [configuration(folder, n) for n in range(NODES)]
        log = open("three_nodes.log", "w")

        def start(n):
            running[n] = subprocess.Popen([program, "serve", "--config", paths[n], "--fleet", str(HERE / "fleet.json")], stderr=log)

        def end(n, how):
            if n in running:
                running[n].send_signal(how)

        def kill(n):
            end(n, signal.SIGKILL)
            running.pop(n).wait()

        for n in range(NODES):
            start(n)
        print(f"three nodes are up at 127.0.0.1:{LISTEN} and on; their log is three_nodes.log", flush=True)
        orders = {"stop": lambda n: end(n, signal.SIGSTOP), "go": lambda n: end(n, signal.SIGCONT), "kill": kill, "start": start,
                  "cut": cut.add, "deafen": deaf.add, "heal": lambda n: (cut.discard(n), deaf.discard(n))}
        try:
            for line in sys.stdin:
                words = line.split()
                if words == ["quit"]:
                    break
                if words == ["members"]:
                    print("\n".join(members(n) for n in range(NODES)), flush=True)
                elif len(words) == 2 and words[0] in orders and words[1] in ("0", "1", "2"):
                    orders[words[0]](int(words[1]))
                elif words:
                    print("stop N, go N, kill N, start N, cut N, deafen N, heal N (N: 0 to 2), members, quit", flush=True)
        except KeyboardInterrupt:
            pass
        for n, node in running.items():
            end(n, signal.SIGCONT)
            end(n, signal.SIGTERM)
        for node in running.values():
            node.wait()


if __name__ == "__main__":
    main()
