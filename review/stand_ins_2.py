"""Stand-ins of the cases 6 to 10 for the platform's store, application servers and clients, and the start of nodes.

They speak what PROTOCOL.md says and listen on loopback addresses only. Times are in seconds unless a name says otherwise.
"""
import base64
import ctypes
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[1]
STARTED_AT = time.monotonic()
ATTEMPT, SEAL, DEADLINE = 'Ebonystack-Attempt-Id', 'Ebonystack-Server-Seal', 'Ebonystack-Deadline-Ms'
TENANT, INSTANCE, EXPECTED = 'Ebonystack-Tenant', 'Ebonystack-Instance-Id', 'Ebonystack-Expect-Instance'
HOST = 'mesh.example'
SERVICE, ZONE = 'svc1', 'zone-a'
ENDLESS_PATH = '/endless/'
SERVER_PORT, OUTBOUND_PORT, READY_PORT, PEER_PORT, METRICS_PORT = 8547, 8548, 8546, 7000, 9464
MEMORY_MB, DESCRIPTORS = 260, 4100  # of a machine of girthline-eu
HEARTBEAT_S, HEARTBEATS_TO_LAPSE = 1.5, 3


def now():
    return time.monotonic() - STARTED_AT


def troubled():
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """What was sent, answered and run, one line an event."""

    def __init__(self, folder):
        self._file, self._lock = open(pathlib.Path(folder) / 'record.txt', 'w'), threading.Lock()
        self._lines = []

    def add(self, event, **fields):
        line = f'{now():8.3f} {event} ' + ' '.join(f'{name}={value}' for name, value in fields.items())
        with self._lock:
            self._lines.append(line)
            print(line, file=self._file, flush=True)

    def has(self, text):
        with self._lock:
            return any(text in line for line in self._lines)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def handle_error(self, request, client_address):
        pass  # the other side has closed the connection


class _Handler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True

    def log_message(self, *arguments):
        pass

    def reply(self, status, body=b'', **fields):
        self.send_response_only(status)
        for name, value in fields.items():
            self.send_header(name.replace('_', '-'), value)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)


def _serve(handler, ip, port, owner):
    server = _Server((ip, port), handler)
    server.owner = owner
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


class Store:
    """Keys with revisions, a list, and watches."""

    def __init__(self, ip):
        self.items, self.events, self.revision, self.changed = {}, [], 0, threading.Condition()
        server = _serve(_StoreHandler, ip, 0, self)
        self.address = '%s:%d' % server.server_address

    def put(self, key, value):
        with self.changed:
            self.revision += 1
            self.items[key] = {'key': key, 'value': base64.b64encode(json.dumps(value).encode()).decode(),
                               'revision': self.revision, 'created': self.revision, 'lease': 0}
            self.events.append(self.items[key])
            self.changed.notify_all()

    def remove(self, key):
        with self.changed:
            self.revision += 1
            self.items.pop(key)
            self.events.append({'key': key, 'revision': self.revision, 'tombstone': True})
            self.changed.notify_all()


class _StoreHandler(_Handler):
    def do_GET(self):
        store, url = self.server.owner, urlsplit(self.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        with store.changed:
            answer = {'current_rev': store.revision}
            if url.path == '/kv-range':
                answer |= {'items': [store.items[key] for key in sorted(store.items)], 'has_more': False}
            elif url.path == '/kv-watch':
                after, until = int(query['after']), time.monotonic() + int(query['wait_ms']) / 1000
                while store.revision <= after and time.monotonic() < until:
                    store.changed.wait(until - time.monotonic())
                answer = {'events': [e for e in store.events if e['revision'] > after], 'current_rev': store.revision}
        self.reply(404 if url.path == '/kv-key' else 200, json.dumps(answer).encode(), Content_Type='application/json')


class AppServer:
    """An application server. It runs every request that is meant for it, and answers after `work_s`."""

    def __init__(self, ip, store, record, slots, work_s=0.0, service=SERVICE):
        self.ip, self.store, self.record, self.slots, self.work_s = ip, store, record, slots, work_s
        self.id = 'i-' + ip.replace('.', '-')
        self.key = 'servers/' + self.id
        self._server = _serve(_AppHandler, ip, SERVER_PORT, self)
        store.put(self.key, {'address': f'{ip}:{SERVER_PORT}',
                             'info': {'service': service, 'version': 'v1', 'zone': ZONE, 'slots': slots},
                             'status': {'state': 'ready', 'sequence': 1, 'cold_left': '0ms'}})

    def lose(self):
        """The machine is lost: the server ends, and its entry lapses after three heartbeats of silence."""
        threading.Thread(target=self._server.shutdown, daemon=True).start()
        self._server.socket.close()
        lapse = threading.Timer(HEARTBEATS_TO_LAPSE * HEARTBEAT_S, self.store.remove, (self.key,))
        lapse.daemon = True
        lapse.start()


class _AppHandler(_Handler):
    def do_GET(self):
        server, fields = self.server.owner, self.headers
        if fields.get(EXPECTED, server.id) != server.id:
            return self.reply(421, Ebonystack_Instance_Id=server.id)
        path, attempt = self.path, fields[ATTEMPT]
        self.rfile.read(int(fields.get('Content-Length', 0)))
        server.record.add('runs', attempt=attempt, server=server.id, tenant=fields.get(TENANT))
        if path.startswith(ENDLESS_PATH):
            return self.answer_without_end(attempt)
        time.sleep(server.work_s)
        size = int(path.rsplit('/', 2)[-2])  # the path ends with the length of the answer
        self.reply(200, b'x' * size, **{ATTEMPT: attempt, SEAL: f'seal-{attempt}'})

    do_POST = do_GET

    def answer_without_end(self, attempt):
        """A server in trouble: its body has no length and no end, until the caller closes."""
        self.close_connection = True
        self.send_response_only(200)
        self.send_header(ATTEMPT, attempt)
        self.send_header(SEAL, f'seal-{attempt}')
        self.end_headers()
        while True:
            self.wfile.write(b'y' * 65536)


def write_config(store, route, tenants, more_routes=()):
    """One route for all paths under /pack/, and what else is asked for."""
    store.put('op/config', {
        'version': '00000007',
        'routes': {'r-1': {'host': HOST, 'path_prefix': '/pack/', 'priority': 2, 'service': SERVICE, 'max_attempts': 2,
                           'public': False} | route}
        | {f'r-{2 + i}': {'host': HOST, 'priority': 2, 'max_attempts': 2, 'public': False} | more
           for i, more in enumerate(more_routes)},
        'services': {service: {'health_path': '/healthz', 'max_conns': 664, 'protocol': 'h1', 'tls': False}
                     for service in {SERVICE} | {more['service'] for more in more_routes}},
        'limits': {'max_header_bytes': 16384, 'max_body_bytes': 67108864, 'header_timeout': '3000ms',
                   'idle_timeout': '15000ms'},
        'tenants': tenants})


_LIBC, _PR_SET_PDEATHSIG = ctypes.CDLL(None), 1


def _end_with_parent():
    """Also if the script is killed."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class Node:
    """A process of the project, run as deploy/system.toml says, with the settings that its template makes."""

    def __init__(self, folder, ip, store, grace='6s', service=SERVICE, memory_mb=MEMORY_MB):
        self.ip, self._store, self._service, self._memory_mb = ip, store, service, memory_mb
        self._settings = pathlib.Path(folder) / f'{ip}.json'
        self.write_settings(grace)
        with open(pathlib.Path(folder) / f'{ip}.log', 'w') as log:
            self.process = subprocess.Popen(
                ['target/ebony-sidecar'], cwd=ROOT, stdout=log, stderr=log, preexec_fn=_end_with_parent,
                env={'PATH': os.environ['PATH'], 'EBONYSTACK_SETTINGS': str(self._settings)})

    def write_settings(self, grace):
        """Puts the file in its place as a whole."""
        new = self._settings.with_suffix('.new')
        new.write_text(json.dumps({
            'vm': self.ip, 'name': f'sidecar-{self.ip}', 'dataCentre': ZONE, 'service': self._service,
            'upstreamAddress': f'{self.ip}:{SERVER_PORT}', 'callerAddress': f'{self.ip}:{OUTBOUND_PORT}',
            'readinessAddress': f'{self.ip}:{READY_PORT}', 'peerPort': PEER_PORT, 'metricsPort': METRICS_PORT,
            'storeAddress': self._store.address, 'memoryMegabytes': self._memory_mb, 'descriptors': DESCRIPTORS,
            'grace': grace, 'drain': '2000ms', 'heartbeat': f'{HEARTBEAT_S}s', 'repeatRatio': 0.2,
            'repeatWindow': '10s', 'extraRepeats': 50}))
        new.replace(self._settings)

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(self.ip, READY_PORT, timeout=1)
            connection.request('GET', '/readyz')
            return connection.getresponse().status == 200
        except OSError:
            return False

    def peak_memory_mb(self):
        return self._memory_mb_of('VmHWM:')

    def memory_mb(self):
        return self._memory_mb_of('VmRSS:')

    def _memory_mb_of(self, name):
        try:
            lines = pathlib.Path(f'/proc/{self.process.pid}/status').read_text().splitlines()
        except OSError:  # the process has ended
            return 0
        return next((int(line.split()[1]) // 1024 for line in lines if line.startswith(name)), 0)

    def kill(self):
        self.process.kill()
        self.process.wait()


def run(play):
    """Ends the script with the case's result, 2 if it couldn't run."""
    for interrupt in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):  # the case ends its processes then too
        signal.signal(interrupt, lambda *_: sys.exit(2))
    result = 2
    try:
        with tempfile.TemporaryDirectory() as folder:
            result = play(folder)
    except BaseException:
        traceback.print_exc()
    os._exit(result)  # without waiting for threads of the stand-ins


def wait_until_ready(nodes, limit_s):
    until = time.monotonic() + limit_s
    while not all(node.is_ready() for node in nodes):
        if time.monotonic() > until or any(node.process.poll() is not None for node in nodes):
            return False
        time.sleep(0.1)
    return True


class Connection:
    """A client's connection, kept open between requests."""

    def __init__(self, ip):
        self._socket = socket.create_connection((ip, OUTBOUND_PORT), timeout=1)
        self._socket.settimeout(10)
        self.is_closing, self.retry_after_s = False, 0.0

    def send(self, path, attempt, key, deadline_ms, body=b''):
        length = f'Content-Length: {len(body)}\r\n' if body else ''
        self._socket.sendall(f'{"POST" if body else "GET"} {path} HTTP/1.1\r\nHost: {HOST}\r\n{ATTEMPT}: {attempt}\r\n'
                             f'{DEADLINE}: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n{length}\r\n'.encode() + body)

    def close(self):
        self._socket.close()

    def receive(self, bytes_per_s=None):
        """Returns the status, the announced length and the length of what came. Without a rate it reads at once."""
        head, begun_at, received = b'', time.monotonic(), 0
        try:
            while b'\r\n\r\n' not in head:
                piece = self._socket.recv(16384)
                if not piece:
                    return 0, 0, 0
                head += piece
            head, _, rest = head.partition(b'\r\n\r\n')
            lines = head.decode().split('\r\n')
            fields = dict(line.lower().split(': ', 1) for line in lines[1:])
            length, self.retry_after_s = int(fields['content-length']), float(fields.get('retry-after', 0))
            self.is_closing = fields.get('connection') == 'close'
            received = len(rest)
            while received < length:
                if bytes_per_s:
                    time.sleep(max(0.0, received / bytes_per_s - (time.monotonic() - begun_at)))
                piece = self._socket.recv(16384)
                if not piece:
                    break
                received += len(piece)
        except OSError:  # reset
            if b'\r\n\r\n' in head or not head:
                return 0, 0, 0
        return int(lines[0].split()[1]), length, received
