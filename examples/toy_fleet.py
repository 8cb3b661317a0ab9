#!/usr/bin/env python3
"""Three toy backends and a toy discovery on loopback, to try a node with (see the README)."""
import http.server
import json
import threading
import time
import urllib.parse

ADDRESS = "127.0.0.1"
BACKENDS = {"s-one": 9001, "s-two": 9002, "s-three": 9003}
DISCOVERY = 8500


class Quiet(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def answer(self, text):
        body = text.encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        try:
            self.wfile.write(body)
        except ConnectionError:
            pass  # a watch whose node has stopped


class Backend(Quiet):
    def do_GET(self):
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        time.sleep(0.05)  # its work
        name = next(n for n, port in BACKENDS.items() if port == self.server.server_port)
        print(f"{name}: {self.command} {self.path}, {self.headers['X-Remaining-Ms']} ms left")
        self.answer(f"{name} did {self.path} with {len(body)} bytes\n")

    do_POST = do_GET


class Discovery(Quiet):
    def do_GET(self):
        asked = urllib.parse.parse_qs(urllib.parse.urlsplit(self.path).query)
        known = asked.get("index") == ["1"]
        if known:  # a watch: there is never any news after the first list, so it ends when its time is over
            time.sleep(min(60000, int(asked.get("wait", ["0"])[0])) / 1000)
        servers = [
            {"id": name, "addr": f"{ADDRESS}:{port}", "zone": "a", "kind": "toy", "cell": 0, "state": "ready",
             "weight": 1.0, "started_ms": 0}
            for name, port in BACKENDS.items()
        ]
        self.answer(json.dumps({"version": 1, "full": not known, "servers": [] if known else servers}))


def start():
    """Serves backends and discovery in threads of this process."""
    for port, kind in [(p, Backend) for p in BACKENDS.values()] + [(DISCOVERY, Discovery)]:
        server = http.server.ThreadingHTTPServer((ADDRESS, port), kind)
        threading.Thread(target=server.serve_forever, daemon=True).start()


if __name__ == "__main__":
    start()
    print("toy fleet is up; end it with Ctrl-C")
    try:
        threading.Event().wait()
    except KeyboardInterrupt:
        pass
