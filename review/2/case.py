"""A server sheds a share of its requests, and repeats a few of these answers late on the same connection."""
import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from standins import TROUBLE, Client, Deployment, run_case, status_of

ENTRY_VM, PAYROLL_VMS = '127.0.72.1', ['127.0.72.2', '127.0.72.3']
SLOTS = 76  # payroll of sijill-mesh
DEADLINE_MS = 6000  # SYSTEM.md: of wage-post
WORK_S = 0.29  # SYSTEM.md: of wage-post
REQUESTS_PER_S = 54.6  # SYSTEM.md: of wage-post
CLIENTS = 100
LENGTH_S, PERIOD_S = 60, 10  # the disruptions come once in each period
SHEDDING_S = (0, 8)  # in a period; srv_grey, how "shed all": for_s = 8.5, x = 0.55 in the site's day scale-1
SHED_SHARE = 0.2
EXTRA_S = (1, 6)  # in a period; garble, how "extra late": for_s = 5.0, share = 0.6, x = 0.03 in the site's troubles
EXTRA_SHARE = 0.03
GARBLING_VM = PAYROLL_VMS[0]  # one of two
SEED = 36
PROMISES_NOT_RUN = (408, 421, 429, 503)


class Payroll:
    """The work of one server, and what it still owes to its connections."""

    def __init__(self, record, garbles=False):
        self.record, self.garbles = record, garbles
        self.random = random.Random(SEED)
        self.late = {}  # by connection: the extra answer that comes when the next one is expected there
        self.period = 0
        self.answers = self.extras = 0  # in the current period's EXTRA_S
        self.all_answers = self.all_extras = self.all_shed = 0

    def is_within(self, span):
        return span[0] <= self.record.now() % PERIOD_S < span[1]

    async def work(self, server, connection, request_id, fields, body):
        if extra := self.late.pop(connection, None):
            connection.write(extra)
        is_shed = self.is_within(SHEDDING_S) and self.random.random() < SHED_SHARE
        if is_shed:
            self.all_shed += 1
            answer = server.sealed('503 Service Unavailable', request_id, b'', **{'Ebonystack-Not-Executed': 1})
            server.record.add(server.id, f'sheds {request_id}, not executed')
        else:
            server.begin(request_id)
            await asyncio.sleep(WORK_S)
            answer = server.sealed('200 OK', request_id, b'posted')
            server.record.add(server.id, f'answers {request_id}: 200')
        connection.write(answer)
        self.all_answers += 1
        if self.garbles and self.is_within(EXTRA_S):
            self.repeat_late(server, connection, request_id, answer, is_shed)

    def repeat_late(self, server, connection, request_id, answer, is_shed):
        """Keeps a copy of the answer to a shed request for later, within the share of the period."""
        period = self.record.now() // PERIOD_S
        if period != self.period:
            self.period, self.answers, self.extras = period, 0, 0
        self.answers += 1
        if is_shed and self.extras + 1 <= EXTRA_SHARE * self.answers:
            self.extras += 1
            self.all_extras += 1
            self.late[connection] = answer
            server.record.add(server.id, f'will send its last answer to {request_id} once more, late')


async def case(record):
    deployment = Deployment(record, [ENTRY_VM, *PAYROLL_VMS])
    payrolls = [Payroll(record, TROUBLE and host == GARBLING_VM) for host in PAYROLL_VMS]
    deployment.add_vm(ENTRY_VM, 'clerks', SLOTS, Payroll(record).work)
    for host, payroll in zip(PAYROLL_VMS, payrolls):
        deployment.add_vm(host, 'payroll', SLOTS, payroll.work)
    answers = {}
    try:
        await deployment.start({'wage-post': {
            'host': 'api.example', 'path_prefix': '/wages/', 'route_kind': 'non_idempotent', 'service': 'payroll',
            'timeout': '1500ms', 'target_latency': '2000ms', 'priority': 0, 'max_attempts': 1}})
        clients = [Client(deployment, ENTRY_VM, f'client {n}') for n in range(CLIENTS)]

        async def post(client, request_id):
            answers[request_id] = status_of(
                await client.send('POST', '/wages/line', request_id, DEADLINE_MS, b'x'))

        tasks = []
        for n in range(round(LENGTH_S * REQUESTS_PER_S)):
            tasks.append(asyncio.create_task(post(clients[n % CLIENTS], f'request-{n}')))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*tasks)
        await asyncio.sleep(2)
    finally:
        await deployment.stop()

    runs = [request_id for server in deployment.servers.values() for request_id in server.runs]
    findings = [f'TWICE: {each} ran {runs.count(each)} times' for each in sorted(set(runs)) if runs.count(each) > 1]
    findings += [f'REFUSED: {each} ran and was answered {status}' for each, status in answers.items()
                 if status in PROMISES_NOT_RUN and each in runs]
    for host, payroll in zip(PAYROLL_VMS, payrolls):
        record.add('check', f'server {host}: {payroll.all_answers} answers, {payroll.all_shed} shed, '
                            f'{payroll.all_extras} repeated late')
    served = sum(status == 200 for status in answers.values())
    record.add('check', f'{len(answers)} requests, {served} answered with 200, {len(runs)} runs')
    return findings


run_case(__file__, case)
