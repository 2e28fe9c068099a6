"""A server sheds a share of its requests, and repeats a few of these answers late on the same connection."""
import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from standins import TROUBLE, Client, Deployment, run_case, status_of

ENTRY_VM, PRESS_VMS = '127.0.72.1', ['127.0.72.2', '127.0.72.3']
SLOTS = 42  # pressroom of sijill-mesh
DEADLINE_MS = 2000  # SYSTEM.md: of print-order
WORK_S = 0.18  # SYSTEM.md: of print-order
REQUESTS_PER_S = 17.4  # SYSTEM.md: of print-order
CLIENTS = 40
SHED_SHARE = 0.3  # srv_grey, how "shed all"; x = 0.55 in the site's day scale-1
EXTRA_SHARE = 0.03  # garble, how "extra late", x = 0.03 in the site's troubles
GARBLING_VM = PRESS_VMS[0]  # one of two: garble, share = 0.6 in the site's troubles
LENGTH_S = 60
SEED = 36
PROMISES_NOT_RUN = (408, 421, 429, 503)


class Press:
    """The work of one server, and what it still owes to its connections."""

    def __init__(self, garbles=False):
        self.garbles = garbles
        self.random = random.Random(SEED)
        self.late = {}  # by connection: the extra answer that comes when the next one is expected there
        self.answers = self.extras = self.shed = 0

    async def work(self, server, connection, request_id, fields, body):
        if extra := self.late.pop(connection, None):
            connection.write(extra)
        is_shed = self.random.random() < SHED_SHARE
        if is_shed:
            self.shed += 1
            answer = server.sealed('503 Service Unavailable', request_id, b'', **{'Ebonystack-Not-Executed': 1})
            server.record.add(server.id, f'sheds {request_id}, not executed')
        else:
            server.begin(request_id)
            await asyncio.sleep(WORK_S)
            answer = server.sealed('200 OK', request_id, b'printed')
            server.record.add(server.id, f'answers {request_id}: 200')
        connection.write(answer)
        self.answers += 1
        if self.garbles and self.extras + 1 <= EXTRA_SHARE * self.answers and is_shed:
            self.extras += 1
            self.late[connection] = answer
            server.record.add(server.id, f'will send its last answer to {request_id} once more, late')


async def case(record):
    deployment = Deployment(record, [ENTRY_VM, *PRESS_VMS])
    presses = [Press(TROUBLE and host == GARBLING_VM) for host in PRESS_VMS]
    deployment.add_vm(ENTRY_VM, 'clerks', SLOTS, Press().work)
    for host, press in zip(PRESS_VMS, presses):
        deployment.add_vm(host, 'pressroom', SLOTS, press.work)
    answers = {}
    try:
        await deployment.start({'print-order': {
            'host': 'api.example', 'path_prefix': '/print/', 'route_kind': 'non_idempotent', 'service': 'pressroom',
            'timeout': '1000ms', 'target_latency': '500ms', 'priority': 2, 'max_attempts': 1}})
        clients = [Client(deployment, ENTRY_VM, f'client {n}') for n in range(CLIENTS)]

        async def order(client, request_id):
            answers[request_id] = status_of(await client.send('DELETE', '/print/run', request_id, DEADLINE_MS))

        tasks = []
        for n in range(round(LENGTH_S * REQUESTS_PER_S)):
            tasks.append(asyncio.create_task(order(clients[n % CLIENTS], f'request-{n}')))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*tasks)
        await asyncio.sleep(2)
    finally:
        await deployment.stop()

    runs = [request_id for server in deployment.servers.values() for request_id in server.runs]
    findings = [f'TWICE: {each} ran {runs.count(each)} times' for each in sorted(set(runs)) if runs.count(each) > 1]
    findings += [f'REFUSED: {each} ran and was answered {status}' for each, status in answers.items()
                 if status in PROMISES_NOT_RUN and each in runs]
    for host, press in zip(PRESS_VMS, presses):
        record.add('check', f'server {host}: {press.answers} answers, {press.shed} shed, {press.extras} repeated late')
    served = sum(status == 200 for status in answers.values())
    record.add('check', f'{len(answers)} requests, {served} answered with 200, {len(runs)} runs')
    return findings


run_case(__file__, case)
