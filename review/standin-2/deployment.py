"""A small deployment on loopback addresses: programs, clients and operator.

The programs are started with the commands of the deploy file, as separate
processes, with settings like those that its templates give. Everything else
here stands in for the platform: it starts, signals and restarts processes, and
sends what operators, replicas and requesters send.
"""

from __future__ import annotations

import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.client import HTTPConnection, HTTPException
from pathlib import Path

from msgspec import json, msgpack

ROOT = Path(__file__).resolve().parents[2]
HOST = 'ficu95.example'
KEY = 'n2ctnfzs989anu6wsjnb'
#: Seconds in which a program must have started.
START_TIMEOUT_S = 20.0
#: Exit codes of a case: the rule held, was broken, or the case couldn't run.
HELD, BROKEN, NOT_RUN = 0, 1, 2


def free_port():
    """Return a port that is free on all loopback addresses used here."""
    with socket.socket() as sock:
        sock.bind(('0.0.0.0', 0))
        return sock.getsockname()[1]


class Record:
    """Writes what was sent, answered and run, with the time of each line."""

    def __init__(self, folder):
        self.began_at = time.monotonic()
        self._lock = threading.Lock()
        self._stream = (Path(folder) / 'record.txt').open('w', encoding='utf-8')

    def line(self, text):
        with self._lock:
            at = time.monotonic() - self.began_at
            self._stream.write(f'{at:8.3f} {text}\n')
            self._stream.flush()


class Machine:
    """One machine with one process of the project."""

    def __init__(self, cluster, name, kind, address):
        self.cluster = cluster
        self.name = name
        self.kind = kind
        self.address = address
        self.settings = cluster.folder / f'{name}.toml'
        self.log_path = cluster.folder / f'{name}.log'
        self.process = None
        self.began_at = 0.0

    def write_settings(self, seeds, *, bootstrap=False):
        """Write the settings file, as the platform does from the template."""
        text = self.cluster.settings_text(self, seeds, bootstrap)
        partial = self.settings.with_suffix('.partial')
        partial.write_text(text, encoding='utf-8')
        partial.replace(self.settings)

    def start(self):
        """Start the process with the command of the deploy file."""
        env = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['SNIPEBEND_CONFIG'] = str(self.settings)
        self.began_at = time.monotonic()
        with self.log_path.open('ab') as log:
            self._log_from = log.tell()
            self.process = subprocess.Popen(
                [sys.executable, '-m', f'snipebend_platform.{self.kind}'],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.cluster.record.line(f'{self.name} starts')

    def log(self):
        """Return what the current process has logged."""
        data = self.log_path.read_bytes()[self._log_from :]
        return data.decode('utf-8', 'replace')

    def wait_started(self, timeout_s=START_TIMEOUT_S):
        """Return whether the process says that it has started."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if 'event=started' in self.log():
                return True
            if self.process.poll() is not None:
                return False
            time.sleep(0.02)
        return False

    def signal(self, number):
        """Send a signal to the process."""
        self.cluster.record.line(
            f'{self.name} gets {signal.Signals(number).name}'
        )
        self.process.send_signal(number)

    def wait_end(self, timeout_s):
        """Return the exit code, or None if it runs on."""
        try:
            return self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Cluster:
    """Some control machines, of which three are seeds, and entry machines."""

    def __init__(self, record, entries=1, extra_entry='', controls=3):
        self.record = record
        self.extra_entry = extra_entry
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.grpc_port = free_port()
        self.outer_port = free_port()
        self.callers_port = free_port()
        self.ready_port = free_port()
        self.admin_port = free_port()
        self.replica_port = free_port()
        net = 10 + os.getpid() % 200
        self.controls = [
            Machine(self, f'core-{at}', 'control', f'127.{net}.1.{at}')
            for at in range(1, controls + 1)
        ]
        self.entries = [
            Machine(self, f'front-{at}', 'entry', f'127.{net}.2.{at}')
            for at in range(1, entries + 1)
        ]
        self.replica_net = f'127.{net}.3'

    @property
    def machines(self):
        return self.controls + self.entries

    @property
    def seeds(self):
        seeds = self.controls[:3]
        return [f'{one.address}:{self.outer_port}' for one in seeds]

    def settings_text(self, machine, seeds, bootstrap):
        listed = json.encode(seeds).decode()
        common = (
            f'[process]\nname = "{machine.name}"\n'
            'data_center = "zrh-a"\nregion = "zrh"\n'
            f'[listen]\nhost = "{machine.address}"\n'
            f'admin_port = {self.admin_port}\n'
        )
        if machine.kind == 'control':
            return (
                f'outer = "{machine.address}:{self.outer_port}"\n'
                'data_centers = ["zrh-a", "zrh-b", "zrh-c"]\n'
                f'{common}grpc_port = {self.grpc_port}\n'
                f'[storage]\nfolder = "{self.folder / machine.name}"\n'
                f'[seeds]\naddresses = {listed}\n'
                f'grpc_port = {self.grpc_port}\n'
                f'bootstrap = {str(bootstrap).lower()}\n'
                '[election]\nheartbeat_s = 0.1\nelection_timeout_s = 0.45\n'
            )
        return (
            f'callers = "{machine.address}:{self.callers_port}"\n'
            f'readiness = "{machine.address}:{self.ready_port}"\n'
            f'gossip_port = {self.grpc_port}\n'
            f'{common}[control]\naddresses = {listed}\n'
            f'grpc_port = {self.grpc_port}\n'
            '[relay]\nmemory_mb = 300\nretry_ratio = 0.2\nretry_slack = 92\n'
            f'{self.extra_entry}'
        )

    def start(self):
        """Start all machines for the first time; return whether they run."""
        for machine in self.machines:
            machine.write_settings(self.seeds, bootstrap=True)
            machine.start()
        return all(machine.wait_started() for machine in self.machines)

    def stop(self):
        """End all processes, and remove the folder."""
        for machine in self.machines:
            machine.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    def call(self, path, body=None, timeout_s=1.0, address=None):
        """Call one control machine once; return status and body, 0 for none."""
        address = address or self.controls[0].address
        method = 'GET' if body is None else 'POST'
        headers = {'Content-Type': 'application/msgpack'}
        conn = HTTPConnection(address, self.outer_port, timeout=timeout_s)
        try:
            conn.request(method, path, body, headers)
            resp = conn.getresponse()
            return resp.status, resp.read()
        except (OSError, HTTPException):
            return 0, b''
        finally:
            conn.close()

    def call_any(self, path, body=None, limit_s=15.0):
        """Call control machines in turn until one answers below 500."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            for control in self.controls:
                status, answer = self.call(path, body, 2.0, control.address)
                if 0 < status < 500:
                    return status, answer
                time.sleep(0.05)
        return 0, b''

    def role(self, machine):
        """Return the role of a control machine, as its state dump says."""
        conn = HTTPConnection(machine.address, self.admin_port, timeout=1.0)
        try:
            conn.request('GET', '/dump')
            dump = json.decode(conn.getresponse().read())
        except (OSError, HTTPException, ValueError):
            return ''
        finally:
            conn.close()
        return dump['state'].get('role') or ''

    def put_config(self, config, limit_s=15.0):
        """Send a config until it is acknowledged; return whether it was."""
        status, _ = self.call_any(
            '/-/config/put', msgpack.encode(config), limit_s
        )
        self.record.line(f'config {config["version"]} answered {status}')
        return status == 200

    def beat(self, identity, service, address, seq, **fields):
        """Send a status report; return whether it was acknowledged."""
        body = {
            'service': service,
            'address': address,
            'zone': 'zrh-a',
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'seq': seq,
        } | fields
        path = f'/-/replicas/{identity}/heartbeat'
        return self.call_any(path, msgpack.encode(body), 5.0)[0] == 200


def make_config(version, routes, services):
    """Return a config with one tenant."""
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'hule930', 'api_keys': [KEY], 'priority': 1}],
    }


def make_route(name, service, kind, **fields):
    """Return a route for the prefix of its name."""
    return {
        'name': name,
        'host': HOST,
        'path_prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 1000,
        'target_latency_ms': 150,
        'priority': 2,
        'service': service,
        'max_attempts': 1,
        'allow_anonymous': False,
        'sticky': False,
        'resume_streams': False,
        'gap_aim_ms': 0,
    } | fields


def send_request(cluster, entry, path, attempt, deadline_ms=1000):
    """Send one request on a new channel; return status and seconds.

    The status is 0 if the channel ended without an answer.
    """
    began_at = time.monotonic()
    timeout_s = deadline_ms / 1000 + 0.5
    conn = HTTPConnection(
        entry.address, cluster.callers_port, timeout=timeout_s
    )
    headers = {
        'Host': HOST,
        'Snipebend-Attempt-Id': attempt,
        'Snipebend-Deadline-Ms': str(deadline_ms),
        'Snipebend-Credential': KEY,
    }
    try:
        conn.request('GET', path, headers=headers)
        resp = conn.getresponse()
        resp.read()
        status = resp.status
    except (OSError, HTTPException):
        status = 0
    finally:
        conn.close()
    return status, time.monotonic() - began_at


def play(folder, run, *, trouble, **options):
    """Run a case on a new cluster, and return its exit code."""
    record = Record(folder)
    record.line(f'TROUBLE={int(trouble)}')
    cluster = Cluster(record, **options)
    code = NOT_RUN
    try:
        code = run(cluster)
    except Exception as exc:
        record.line(f'could not run: {exc!r}')
    finally:
        cluster.stop()
        record.line(f'exit {code}')
    return code
