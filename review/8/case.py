import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import deployment_2 as d

ROUNDS = 6
# `core_cut`, how refuse: a single machine is partitioned from the store, for at most 5.5 s in the site file.
CUT_SECONDS = 3.0
# From the end of the cut until each server's entry is removed: servers are replaced one after the other.
LEAVE_SECONDS = (2.0, 2.25, 2.5, 2.75, 3.0, 3.25)
DRAIN_SECONDS, CONTACT_SECONDS = 2.0, 3.0
# The server serves on for drainMs "and a little longer (at times many seconds)".
SERVING_SECONDS = 2.6
CLIENTS = 10
DEADLINE_MS = 1500


class Orders(d.Server):
    left_at = None  # when the store acknowledged that it is gone

    async def start(self, port=0):
        self.arrivals = []  # (time, request)
        await super().start(port)

    async def serve(self, line, fields, body, reader, writer):
        id = fields["x-lovagecleat-request-id"]
        self.arrivals.append((d.now(), id))
        await asyncio.sleep(0.01)
        writer.write(d.format_response(200, self.own(id), b'{"order":1}'))

    def leave(self):
        self.unregister()
        self.left_at = d.now()


ROUTES = [{"name": "r-order", "host": "pule25.example", "prefix": "/order/", "kind": "unsafe", "service": "orders",
           "timeoutMs": 800, "goalMs": 300, "priority": 0, "attempts": 1}]
SERVICES = [{"name": "orders", "healthPath": "/healthz", "maxConns": 96}]


async def client(number, gateway, sent, is_over):
    sends = 0
    reader = writer = None
    while not is_over.is_set():
        if writer is None:
            reader, writer = await asyncio.open_connection(d.ADDRESS, gateway.front)
        sends += 1
        id = f"{number:04x}{sends:012x}"
        sent[id] = d.now()
        writer.write(d.request_head("POST", "/order/2f", id, DEADLINE_MS, 5) + b"order")
        answer = await d.read_message(reader)
        if answer is None or answer[1].get("connection") == "close":
            writer.close()
            writer = None
        await asyncio.sleep(0.03)
    if writer:
        writer.close()


async def play(log, folder, gateways):
    store = d.Store()
    await store.start()
    path = d.Proxy(store.port)
    await path.start()
    store.write("op", "config", d.configuration(3, ROUTES, SERVICES))
    servers = []

    async def add_server():
        server = Orders(store, log, f"i-{len(servers)}", "orders")
        servers.append(server)
        await server.start()
        return server

    serving = [await add_server() for _ in range(8)]
    gateway = d.Gateway(folder, "front-1", "zone-a", path.port)
    gateways.append(gateway)
    gateway.start()
    await gateway.wait_until_ready()
    await asyncio.sleep(1)
    sent, is_over = {}, asyncio.Event()
    clients = [asyncio.create_task(client(i, gateway, sent, is_over)) for i in range(CLIENTS)]
    late = []
    for number in range(ROUNDS):
        await asyncio.sleep(0.5)
        if d.TROUBLE:
            path.cut()
        await asyncio.sleep(CUT_SECONDS)
        path.heal()
        healed_at = d.now()
        leaving = [serving.pop(0) for _ in LEAVE_SECONDS]
        serving += [await add_server() for _ in leaving]
        for server, seconds in zip(leaving, LEAVE_SECONDS):
            await asyncio.sleep(max(0.0, healed_at + seconds - d.now()))
            server.leave()
        await asyncio.sleep(SERVING_SECONDS)
        for server in leaving:
            await server.stop()
            # In touch, and so bound by the rule, from contactMs after the end of the cut.
            found = [(at, id) for at, id in server.arrivals
                     if at > server.left_at + DRAIN_SECONDS and sent[id] >= healed_at + CONTACT_SECONDS]
            late += found
            log(f"round {number + 1}: the store acknowledged that {server.id} is gone {server.left_at - healed_at:.2f} s "
                f"after the cut; {len(found)} requests reached it later than drainMs after that, from a machine in touch"
                + (f", the last {max(at for at, _ in found) - server.left_at:.2f} s after it" if found else ""))
    is_over.set()
    await asyncio.gather(*clients, return_exceptions=True)
    log(f"{len(sent)} requests were sent; {len(late)} reached a server that had left for longer than drainMs")
    for server in serving:
        await server.stop()
    await path.stop()
    await store.stop()
    return len(late) > 0


sys.exit(d.run_case(FOLDER, play))
