"""The record of what was sent, answered and run."""

import os
import threading
import time


class Record:
    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def line(self, text, at=None):
        at = time.monotonic() if at is None else at
        with self.lock:
            self.file.write(f"{at - self.began:8.3f} {text}\n")
            self.file.flush()
