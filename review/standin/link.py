"""A proxy between two instances: datagrams and connections to one address are
passed on to another, and back. While it is cut, nothing passes."""

import select
import socket
import threading
import time


class Link:
    """The way from the instance at `near` to the one at `far` (IP, port)."""

    def __init__(self, host, near, far):
        self.near, self.far = near, far
        self.is_cut = False
        while True:
            self.tcp = socket.socket()
            self.tcp.bind((host, 0))
            self.address = self.tcp.getsockname()
            self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                self.udp.bind(self.address)
                break
            except OSError:
                self.tcp.close()
                self.udp.close()
        self.tcp.listen(128)
        threading.Thread(target=self._datagrams, daemon=True).start()
        threading.Thread(target=self._accept, daemon=True).start()

    def _datagrams(self):
        while True:
            try:
                data, source = self.udp.recvfrom(65536)
            except OSError:
                continue
            if self.is_cut:
                continue
            to = self.near if source == self.far else self.far
            try:
                self.udp.sendto(data, to)
            except OSError:
                pass

    def _accept(self):
        while True:
            near, _ = self.tcp.accept()
            threading.Thread(
                target=self._connection, args=(near,), daemon=True
            ).start()

    def _connection(self, near):
        try:
            far = socket.create_connection(self.far, timeout=2)
        except OSError:
            near.close()
            return
        pairs = {near: far, far: near}
        with near, far:
            while True:
                readable, _, _ = select.select(list(pairs), [], [], 0.5)
                if self.is_cut:
                    # The peers hear nothing until the cut is over.
                    time.sleep(0.05)
                    continue
                for source in readable:
                    try:
                        data = source.recv(65536)
                        if not data:
                            return
                        pairs[source].sendall(data)
                    except OSError:
                        return
