"""What each case's test shares: the record, the exit code, the end of all processes."""
import os
import signal
import tempfile
import threading
import time
import traceback

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    def __init__(self, path):
        self.file, self.lock, self.began = open(path, "w"), threading.Lock(), time.time()

    def __call__(self, *words):
        with self.lock:
            self.file.write(f"{time.time() - self.began:8.3f}  {' '.join(str(w) for w in words)}\n")
            self.file.flush()


def say(*words):
    try:
        print(*words, flush=True)
    except OSError:
        pass   # nobody reads it; the record has it too


class CouldNotRun(Exception):
    pass


def main(record_path, play, seconds=110):
    """Plays a case: play(record, folder) returns the list of breaks. A watchdog ends it in time."""
    record = Record(record_path)

    def too_long(*_):
        raise CouldNotRun("the case took too long")

    signal.signal(signal.SIGALRM, too_long)
    signal.signal(signal.SIGTERM, too_long)
    signal.alarm(seconds)
    record("with the disruption" if TROUBLE else "without the disruption (TROUBLE=0)")
    code = COULD_NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as folder:
            breaks = play(record, folder)
        for one in breaks:
            record("BREAK", one)
            say("BREAK", one)
        code = BROKEN if breaks else HELD
    except Exception as failed:
        record("could not run:", traceback.format_exc())
        say("could not run:", failed)
    record("verdict:", ["the rule held", "the rule was broken", "the case could not run"][code])
    say(["the rule held", "the rule was broken", "the case could not run"][code])
    os._exit(code)
