"""A VM of the service `wages` loses power for 5 s; non-idempotent requests were running there."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from standins import TROUBLE, Client, Deployment, run_case, status_of

ENTRY_VM, WAGES_VMS = '127.0.71.1', ['127.0.71.2', '127.0.71.3']
SLOTS = 20
DEADLINE_MS = 6000  # SYSTEM.md: of wage-post
WORK_S = 1.0
REQUESTS_PER_S = 10
CLIENTS = 80  # enough that none waits for its connection
OUTAGE_AT_S = 4
OUTAGE_S = 5  # the default length of node_kill and srv_crash
END_AT_S = 16
PROMISES_NOT_RUN = (408, 421, 429, 503)


async def work(server, connection, request_id, fields, body):
    server.begin(request_id)
    await asyncio.sleep(WORK_S)
    connection.write(server.sealed('200 OK', request_id, b'posted'))
    server.record.add(server.id, f'answers {request_id}: 200')


async def case(record):
    deployment = Deployment(record, [ENTRY_VM, *WAGES_VMS])
    deployment.add_vm(ENTRY_VM, 'clerks', SLOTS, work)
    for host in WAGES_VMS:
        deployment.add_vm(host, 'wages', SLOTS, work)
    answers = {}
    try:
        await deployment.start({'wage-post': {
            'host': 'api.example', 'path_prefix': '/wages/', 'route_kind': 'non_idempotent', 'service': 'wages',
            'timeout': f'{DEADLINE_MS}ms', 'target_latency': '2000ms', 'priority': 0, 'max_attempts': 2}})
        clients = [Client(deployment, ENTRY_VM, f'client {n}') for n in range(CLIENTS)]

        async def post(client, request_id):
            answers[request_id] = status_of(await client.send('POST', '/wages/line', request_id, DEADLINE_MS, b'x'))

        async def outage():
            server, node = deployment.servers[WAGES_VMS[0]], deployment.nodes[WAGES_VMS[0]]
            server.stop_at_once()
            await node.kill()
            await asyncio.sleep(OUTAGE_S)
            await server.start()
            await node.start()

        tasks = []
        for n in range(END_AT_S * REQUESTS_PER_S):
            if n == OUTAGE_AT_S * REQUESTS_PER_S and TROUBLE:
                tasks.append(asyncio.create_task(outage()))
            tasks.append(asyncio.create_task(post(clients[n % CLIENTS], f'request-{n}')))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*tasks)
        await asyncio.sleep(2 * WORK_S)
    finally:
        await deployment.stop()

    runs = [request_id for server in deployment.servers.values() for request_id in server.runs]
    findings = [f'TWICE: {each} ran {runs.count(each)} times' for each in sorted(set(runs)) if runs.count(each) > 1]
    findings += [f'REFUSED: {each} ran and was answered {status}' for each, status in answers.items()
                 if status in PROMISES_NOT_RUN and each in runs]
    served = sum(status == 200 for status in answers.values())
    record.add('check', f'{len(answers)} requests, {served} answered with 200, {len(runs)} runs')
    return findings


run_case(__file__, case)
