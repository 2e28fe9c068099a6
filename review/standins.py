"""Stand-ins for the platform's store, servers and clients, and the start of the project's own nodes.

All of them live in one event loop. Addresses are loopback addresses, ports are free ones. What each one sends,
answers and runs goes into the case's record.
"""
import asyncio
import base64
import ctypes
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
NODE_COMMAND = re.search(r'^run = "([^"]+)"', (ROOT / 'deploy/system.toml').read_text(), re.M)[1].split()
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

HEARTBEAT_S = 1.5  # platform.heartbeat of the settings
ENTRY_LIFETIME_S = 3 * HEARTBEAT_S  # PROTOCOL.md: removed after three heartbeat intervals of silence
STORE_ANSWER_S = 0.004  # SYSTEM.md: 4 ms an answer
MEMORY_MB = 260  # SYSTEM.md: of a sidecar machine
READ_AHEAD_BYTES = 64 << 10  # that a server takes in beyond what it works on
START_TIMEOUT_S = 15
RUN_LIMIT_S = 110
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not run."""


class Record:
    """The lines of record.txt, with seconds since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, 'w')

    def now(self):
        return time.monotonic() - self.started

    def add(self, who, what):
        self.file.write(f'{self.now():8.3f} {who:14} {what}\n')
        self.file.flush()


def free_ports(hosts, count):
    """Ports that are free on all of `hosts`."""
    found = []
    while len(found) < count:
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            port = probe.getsockname()[1]
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


async def read_message(reader):
    """Reads a head and a body with a length; returns (first line, fields, body), or None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')
    fields = {}
    for line in lines:
        if line:
            name, _, value = line.partition(':')
            fields[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(fields.get('content-length', 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, fields, body


def message(first, fields, body=b''):
    lines = [first] + [f'{name}: {value}' for name, value in fields.items()]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Store:
    """The platform's store: op/config and the servers' entries, read with kv-range, kv-watch and kv-key."""

    def __init__(self, host, port, record):
        self.host, self.port, self.record = host, port, record
        self.address = f'{host}:{port}'
        self.revision = 100
        self.items = {}  # key: (value, or None once removed; revision)
        self.written_at = {}  # of the servers' entries
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.expiry = asyncio.create_task(self.expire())

    def write(self, key, value):
        self.revision += 1
        self.items[key] = (None if value is None else json.dumps(value).encode(), self.revision)
        self.changed.set()
        self.changed = asyncio.Event()

    def write_entry(self, server_id, value):
        self.written_at[server_id] = time.monotonic()
        self.write(f'servers/{server_id}', value)

    def remove_entry(self, server_id):
        if self.written_at.pop(server_id, None) is not None:
            self.write(f'servers/{server_id}', None)

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            for server_id, at in list(self.written_at.items()):
                if time.monotonic() - at > ENTRY_LIFETIME_S:
                    self.remove_entry(server_id)
                    self.record.add('store', f'entry of {server_id} removed: silent for {ENTRY_LIFETIME_S} s')

    def page(self, name, after):
        found = []
        for key, (value, revision) in sorted(self.items.items(), key=lambda item: item[1][1]):
            if revision <= after or (value is None and name == 'items'):
                continue
            each = {'key': key, 'revision': revision}
            each.update({'tombstone': True} if value is None else {
                'value': base64.b64encode(value).decode(), 'created': revision, 'lease': 0})
            found.append(each)
        return {name: found, 'has_more': False, 'current_rev': self.revision}

    async def answer(self, target):
        query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(target).query))
        await asyncio.sleep(STORE_ANSWER_S)
        if target.startswith('/kv-range'):
            return '200 OK', self.page('items', 0)
        if not target.startswith('/kv-watch'):
            return '404 Not Found', {}
        ends_at = time.monotonic() + int(query['wait_ms']) / 1000
        while self.revision <= int(query['after']) and time.monotonic() < ends_at:
            try:
                await asyncio.wait_for(self.changed.wait(), max(0, ends_at - time.monotonic()))
            except asyncio.TimeoutError:
                break
        return '200 OK', self.page('events', int(query['after']))

    async def serve(self, reader, writer):
        try:
            while request := await read_message(reader):
                status, body = await self.answer(request[0].split()[1])
                text = json.dumps(body).encode()
                writer.write(message(f'HTTP/1.1 {status}', {'Content-Length': len(text)}, text))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


class Server:
    """An application server: registers itself, runs requests, and answers with its seal.

    `work` is an asynchronous function (server, connection, request id, fields, body) that runs one request and
    writes its answer.
    """

    def __init__(self, host, port, service, zone, slots, store, record, work):
        self.host, self.port, self.service, self.zone, self.slots = host, port, service, zone, slots
        self.store, self.record, self.work = store, record, work
        self.starts = 0
        self.connections = set()
        self.runs = []  # request ids, one for each run

    async def start(self):
        self.starts += 1
        self.id = f'i-{self.service}-{self.host.rsplit(".", 1)[1]}-{self.starts}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.listener = await asyncio.start_server(self.serve, self.host, self.port, limit=READ_AHEAD_BYTES)
        self.beats = asyncio.create_task(self.beat())
        self.record.add(self.id, 'started')

    async def beat(self):
        while True:
            self.sequence += 1
            self.store.write_entry(self.id, {
                'address': f'{self.host}:{self.port}', 'born': self.born,
                'info': {'service': self.service, 'version': 'v1', 'zone': self.zone, 'slots': self.slots},
                'status': {'state': 'ready', 'sequence': self.sequence, 'cold_left': '0ms'}})
            await asyncio.sleep(HEARTBEAT_S)

    def stop_at_once(self):
        """Loses power: sends nothing more, not even to the store."""
        self.beats.cancel()
        self.listener.close()
        for task, writer in list(self.connections):
            task.cancel()
            reset(writer)
        self.record.add(self.id, 'stopped at once')

    def begin(self, request_id):
        self.runs.append(request_id)
        self.record.add(self.id, f'begins to run {request_id}')

    def sealed(self, status, request_id, body, **more):
        fields = {'Ebonystack-Attempt-Id': request_id, 'Ebonystack-Server-Seal': f'seal.{request_id}',
                  'Keep-Alive': 'timeout=10', 'Content-Length': len(body)}
        fields.update(more)
        return message(f'HTTP/1.1 {status}', fields, body)

    async def serve(self, reader, writer):
        entry = (asyncio.current_task(), writer)
        self.connections.add(entry)
        try:
            while request := await read_message(reader):
                first, fields, body = request
                if fields.get('ebonystack-expect-instance', self.id) != self.id:
                    writer.write(message('HTTP/1.1 421 Misdirected Request', {
                        'Ebonystack-Attempt-Id': fields['ebonystack-attempt-id'],
                        'Ebonystack-Instance-Id': self.id, 'Content-Length': 0}))
                    continue
                await self.work(self, writer, fields['ebonystack-attempt-id'], fields, body)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(entry)
            writer.close()


def reset(writer):
    """Ends a connection with a reset."""
    if writer.transport.is_closing():
        return
    linger_at_once = b'\x01\x00\x00\x00\x00\x00\x00\x00'
    writer.get_extra_info('socket').setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger_at_once)
    writer.transport.abort()


class Node:
    """One of the project's own nodes, a process of its own."""

    def __init__(self, deployment, host, service):
        self.deployment, self.host, self.service = deployment, host, service
        self.process = None
        self.settings = deployment.folder / f'{host}.json'
        self.settings.write_text(json.dumps({
            'vm': host, 'name': f'sidecar-{host}', 'dataCentre': deployment.zone, 'service': service,
            'upstreamAddress': f'{host}:{deployment.app_port}',
            'callerAddress': f'{host}:{deployment.outbound_port}',
            'readinessAddress': f'{host}:{deployment.readiness_port}', 'peerPort': deployment.peer_port,
            'metricsPort': deployment.metrics_port, 'storeAddress': deployment.store.address,
            'memoryMegabytes': MEMORY_MB, 'descriptors': 4100, 'grace': '6s', 'drain': '2000ms',
            'repeatRatio': 0.2, 'repeatWindow': '10s', 'extraRepeats': 50}))

    async def start(self):
        log = open(self.deployment.folder / f'{self.host}.log', 'ab')
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / NODE_COMMAND[0]), *NODE_COMMAND[1:], cwd=ROOT, stdout=log, stderr=log,
            env={'EBONYSTACK_SETTINGS': str(self.settings), 'PATH': os.environ['PATH']},
            preexec_fn=die_with_parent)
        self.deployment.record.add(f'node {self.host}', 'started')

    async def kill(self):
        self.process.kill()
        await self.process.wait()
        self.deployment.record.add(f'node {self.host}', 'killed')

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, self.deployment.readiness_port)
            writer.write(message('GET /readyz HTTP/1.1', {'Host': 'node'}))
            answer = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return bool(answer) and ' 200 ' in answer[0] + ' '
        except (OSError, asyncio.TimeoutError):
            return False


def die_with_parent():
    set_parent_death_signal = 1
    ctypes.CDLL(None).prctl(set_parent_death_signal, signal.SIGKILL)


class Deployment:
    """A store and, on each VM, a server with its node."""

    def __init__(self, record, hosts):
        self.record, self.zone = record, 'zone-a'
        self.folder = pathlib.Path(tempfile.mkdtemp())
        (self.peer_port, self.app_port, self.outbound_port, self.readiness_port, self.metrics_port,
            store_port) = free_ports(hosts, 6)
        self.store = Store(hosts[0], store_port, record)
        self.servers, self.nodes = {}, {}

    def add_vm(self, host, service, slots, work, server_type=Server):
        self.servers[host] = server_type(host, self.app_port, service, self.zone, slots, self.store, self.record, work)
        self.nodes[host] = Node(self, host, service)

    async def start(self, routes, limits=None):
        """Starts all, and waits until all nodes are ready and linked."""
        await self.store.start()
        self.store.write('op/config', {
            'version': '00000001', 'routes': routes,
            'services': {server.service: {'health_path': '/healthz', 'max_conns': 400}
                         for server in self.servers.values()},
            'limits': limits or {'max_header_bytes': 16384, 'max_body_bytes': 67108864,
                                 'header_timeout': '3000ms', 'idle_timeout': '15000ms'}})
        for server in self.servers.values():
            await server.start()
        for node in self.nodes.values():
            await node.start()
        ends_at = time.monotonic() + START_TIMEOUT_S
        while not all([await node.ready() for node in self.nodes.values()]):
            if time.monotonic() > ends_at:
                raise NotRun('the nodes are not ready')
            await asyncio.sleep(0.1)
        await asyncio.sleep(2)  # links
        self.record.add('deployment', 'ready')

    async def stop(self):
        for node in self.nodes.values():
            if node.process and node.process.returncode is None:
                await node.kill()
        if keep := os.environ.get('KEEP_LOGS'):  # a folder for the nodes' logs
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """A client on the VM `host`; keeps its connection for several requests."""

    def __init__(self, deployment, host, name):
        self.deployment, self.host, self.name = deployment, host, name
        self.reader = self.writer = None
        self.was_closed = False  # the node ended the connection of the last request without an answer

    async def connect(self, **options):
        self.reader, self.writer = await asyncio.open_connection(
            self.host, self.deployment.outbound_port, **options)

    async def send(self, method, path, request_id, deadline_ms, body=b''):
        """Sends one request; returns its answer, or None when the connection ends without one."""
        if not self.writer or self.writer.transport.is_closing():
            await self.connect()
        fields = {'Host': 'api.example', 'Ebonystack-Attempt-Id': request_id,
                  'Ebonystack-Deadline-Ms': deadline_ms}
        if body or method in ('POST', 'PUT'):
            fields['Content-Length'] = len(body)
        record = self.deployment.record
        record.add(self.name, f'sends {request_id}: {method} {path}, {len(body)} bytes, {deadline_ms} ms')
        try:
            self.writer.write(message(f'{method} {path} HTTP/1.1', fields, body))
            answer = await asyncio.wait_for(read_message(self.reader), deadline_ms / 1000)
            self.was_closed = answer is None
        except ConnectionError:
            answer, self.was_closed = None, True
        except asyncio.TimeoutError:
            answer, self.was_closed = None, False
        if answer is None or answer[1].get('connection') == 'close':
            self.close()
        record.add(self.name, f'gets {request_id}: ' + (
            'no answer, ' + ('connection closed' if self.was_closed else 'deadline') if answer is None else f'{answer[0].split()[1]}, {len(answer[2])} bytes'))
        return answer

    def close(self):
        if self.writer:
            self.writer.transport.abort()
        self.reader = self.writer = None


def status_of(answer):
    return int(answer[0].split()[1]) if answer else 0


def run_case(script, case):
    """Runs `case(record)`, which returns the findings; exits as issue 36 says."""
    record = Record(pathlib.Path(script).parent / 'record.txt')

    async def limited():
        task = asyncio.ensure_future(asyncio.wait_for(case(record), RUN_LIMIT_S))
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await task

    if not (ROOT / NODE_COMMAND[0]).exists():
        print(f'{NODE_COMMAND[0]} is not built')
        sys.exit(EXIT_NOT_RUN)
    try:
        findings = asyncio.run(limited())
    except BaseException as error:  # also a mistake of the case is no broken rule
        print(f'not run: {error!r}', flush=True)
        os._exit(EXIT_NOT_RUN)  # connections are still open, and their ends of no interest
    for finding in findings:
        print(finding)
        record.add('check', finding)
    verdict = 'broken' if findings else 'held'
    print(f'TROUBLE={int(TROUBLE)}: {verdict}')
    record.add('check', f'TROUBLE={int(TROUBLE)}: {verdict}')
    sys.stdout.flush()
    os._exit(EXIT_BROKEN if findings else EXIT_HELD)
