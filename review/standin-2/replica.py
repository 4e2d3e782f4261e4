"""A replica of an application service: status reports, health and requests.

Each object is one machine with an address of its own, for one lifetime after
the other. It answers requests as the pages say, `slots` of them at a time.
"""

from __future__ import annotations

import socket
import struct
import threading
import time

BEAT_S = 1.2
#: Makes a close send a reset.
_RESET = struct.pack('ii', 1, 0)


class Replica:
    """One lifetime of a replica at one address."""

    def __init__(self, cluster, identity, service, host, work_s=0.03):
        self.identity = identity
        self.service = service
        self.address = f'{host}:{cluster.replica_port}'
        self.runs = 0
        self.refused = 0
        self._cluster = cluster
        self._work_s = work_s
        self._ended = threading.Event()
        self._slots = threading.Semaphore(6)
        self._socks = set()
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((host, cluster.replica_port))
        self._listener.listen(256)
        for work in (self._accept, self._beat):
            threading.Thread(target=work, daemon=True).start()

    def crash(self):
        """End at once: channels are reset, and nothing is said of it."""
        self._ended.set()
        # Wakes the thread that accepts, which would keep the socket open.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for sock in tuple(self._socks):
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                sock.shutdown(socket.SHUT_RD)
                sock.close()
            except OSError:
                continue

    def _beat(self):
        seq = 0
        while not self._ended.is_set():
            seq += 1
            self._cluster.beat(self.identity, self.service, self.address, seq)
            self._ended.wait(BEAT_S)

    def _accept(self):
        while not self._ended.is_set():
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self._socks.add(sock)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock):
        stream = sock.makefile('rb')
        try:
            while not self._ended.is_set():
                head = _read_head(stream)
                if head is None:
                    return
                line, fields = head
                stream.read(int(fields.get('content-length') or 0))
                sock.sendall(self._answer(line, fields))
        except (OSError, ValueError):
            return
        finally:
            self._socks.discard(sock)
            sock.close()

    def _answer(self, line, fields):
        if line.split()[1] == '/healthz':
            extra = f'Snipebend-Replica-Id: {self.identity}\r\n'
            return _encode('200 OK', fields, b'', extra)
        if fields.get('snipebend-expect-replica') != self.identity:
            self.refused += 1
            extra = (
                f'Snipebend-Not-Executed: 1\r\nAt-Server: {self.address}\r\n'
            )
            return _encode('421 Misdirected', fields, b'', extra)
        if not self._slots.acquire(timeout=0.2):
            self.refused += 1
            extra = (
                f'Snipebend-Not-Executed: 1\r\nAt-Server: {self.address}\r\n'
            )
            return _encode('503 Full', fields, b'', extra)
        try:
            self.runs += 1
            time.sleep(self._work_s)
        finally:
            self._slots.release()
        extra = f'Snipebend-Replica-Signature: {self.identity}.{self.runs}\r\n'
        return _encode('200 OK', fields, b'x' * 800, extra)


def _read_head(stream):
    line = stream.readline(65536).decode('latin-1').strip()
    if not line:
        return None
    fields = {}
    while True:
        header = stream.readline(65536).decode('latin-1').strip()
        if not header:
            return line, fields
        name, _, text = header.partition(':')
        fields[name.lower()] = text.strip()


def _encode(status, fields, body, extra):
    attempt = fields.get('snipebend-attempt-id', '')
    head = (
        f'HTTP/1.1 {status}\r\nSnipebend-Attempt-Id: {attempt}\r\n{extra}'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body
