"""Starts the gateway's programs on loopback with the deploy file's commands.

Each machine has a loopback address of its own, so that the ports are the same
on all machines, as in a deployment.
"""

import asyncio
import json
import os
import signal
import socket
import tempfile
import time
import tomllib
from pathlib import Path

from . import web
from .replica import Replica
from .store import Store

ROOT = Path(__file__).resolve().parents[2]
PASSED = ('PATH', 'HOME', 'LANG')
ZONES = ('khi-saddar', 'khi-korangi', 'khi-gulshan')
# The bounds of the sheet of barf-hub.
BOUNDS = {
    'contact-ms': 3000,
    'ack-ms': 4000,
    'drain-ms': 2000,
    'grace-s': 8,
    'loss-slack-ms': 200,
    'config-apply-ms': 2000,
    'rollback-slack-ms': 250,
    'skew-max-ms': 5000,
    'recovery-s': 12,
    'pass-ms': 120,
    'completion-s': 18,
    'status-ttl-s': 120,
    'cancel-ms': 3000,
    'settle-ms': 1000,
    'quota-overshoot': 0.1,
}
SETTINGS = """node = "{node}"
role = "{role}"
machine-class = "{on}"
serves = ["{on}"]
ip = "{ip}"
zone = "{zone}"
region = "khi"
port-range = [{peer}, {peer_last}]
seeds = []
first-start = true
loss-counts = false
discovery = "platform"
entry = "virtual_ip"
heartbeat-ms = 1200
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
memory-mb = 300
max-fds = 4100
[bounds]
{bounds}
[provider]
address = "{store}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = {value_bytes}
ttl-min-ms = 1000
"""


def free_ports(host, count):
    """Return ports that are free at an address, for TCP and UDP."""
    found = []
    held = []
    while len(found) < count:
        tcp = socket.socket()
        tcp.bind((host, 0))
        port = tcp.getsockname()[1]
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        held.extend((tcp, udp))
        try:
            udp.bind((host, port))
        except OSError:
            continue
        found.append(port)
    for one in held:
        one.close()
    return found


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.started_s = time.time()
        self.file = path.open('w')

    def __call__(self, who, what):
        at_s = time.time() - self.started_s
        self.file.write(f'{at_s:8.3f} {who}: {what}\n')

    def close(self):
        self.file.close()


class Entry:
    """One entry process of the gateway."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.name = f'front-{number + 1}'
        self.zone = ZONES[number % len(ZONES)]
        self.ip = fleet.ip(number + 1)
        self.process = None
        self.log = None

    @property
    def front(self):
        return self.ip, self.fleet.ports['front']

    async def start(self):
        fleet = self.fleet
        path = fleet.folder / f'{self.name}.toml'
        path.write_text(
            SETTINGS.format(
                node=self.name,
                role='entry',
                on='front',
                ip=self.ip,
                zone=self.zone,
                peer=fleet.ports['peer'],
                peer_last=fleet.ports['peer'] + 15,
                front=fleet.ports['front'],
                ready=fleet.ports['ready'],
                bounds='\n'.join(f'{k} = {v}' for k, v in BOUNDS.items()),
                store='%s:%d' % fleet.store_address,
                value_bytes=fleet.store.value_bytes,
            )
        )
        words = fleet.commands['entry'].split(' ')
        words = [
            word.replace('{{listen.front}}', '%s:%d' % self.front)
            for word in words
        ]
        environ = {name: os.environ[name] for name in PASSED if name in os.environ}
        environ['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environ['PYTHONDONTWRITEBYTECODE'] = '1'
        environ['QUETZALDYKE_CONFIG'] = str(path)
        self.log = (fleet.folder / f'{self.name}.log').open('ab')
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=environ, stdout=self.log, stderr=self.log
        )
        fleet.record(self.name, f'starts: {" ".join(words)}')

    def send_signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)
            self.fleet.record(self.name, f'gets {signal.Signals(number).name}')

    async def wait_until_ready(self):
        address = (self.ip, self.fleet.ports['ready'])
        async with asyncio.timeout(20):
            while True:
                status, _, _ = await web.call(
                    address, 'GET', '/quetzaldyke/readiness', timeout_s=1
                )
                if status == 200:
                    return
                await asyncio.sleep(0.1)


class Fleet:
    """The store, replicas and entries of a small deployment."""

    def __init__(self, case_folder):
        self.record = Record(Path(case_folder) / 'record.txt')
        self.temporary = tempfile.TemporaryDirectory(prefix='review-')
        self.folder = Path(self.temporary.name)
        self.base = 2 + os.getpid() % 250
        self.store = Store(self.record)
        self.store_address = ('127.0.0.1', 0)
        self.entries = []
        self.replicas = {}
        self.ports = {}
        self.version = 0
        self.tasks = []
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        self.commands = {
            name: role['run'] for name, role in deploy['roles'].items()
        }

    def ip(self, number):
        return f'127.71.{self.base}.{number}'

    async def start(self, entries):
        names = ('front', 'ready', 'peer')
        self.ports = dict(
            zip(names, free_ports(self.ip(1), len(names)), strict=True)
        )
        host = self.ip(200)
        self.store_address = (host, free_ports(host, 1)[0])
        await self.store.listen(*self.store_address)
        self.tasks.append(asyncio.create_task(self.store.expire_leases()))
        for number in range(entries):
            self.entries.append(Entry(self, number))
        await asyncio.gather(*(entry.start() for entry in self.entries))
        for entry in self.entries:
            await entry.wait_until_ready()
        # Members find each other.
        await asyncio.sleep(1.5)

    async def add_replicas(self, service, count, slots=8):
        for number in range(count):
            name = f'i-{service}-{number + 1}'
            host = self.ip(100 + len(self.replicas))
            replica = Replica(
                self.store,
                self.record,
                name,
                service,
                ZONES[number % len(ZONES)],
                (host, free_ports(host, 1)[0]),
                slots,
            )
            self.replicas[name] = replica
            await replica.start()

    def write_configuration(self, routes, services):
        """Write the next version, as the operator does."""
        self.version += 7
        document = {
            'version': self.version,
            'routes': routes,
            'services': services,
            'limits': {
                'max-header-bytes': 16384,
                'max-body-bytes': 4194304,
                'header-timeout-ms': 3000,
                'idle-timeout-ms': 15000,
            },
        }
        self.store.put('op/config', json.dumps(document).encode())
        shown = [(one['name'], one.get('service')) for one in routes]
        self.record('operator', f'writes version {self.version}: {shown}')

    def last_run_s(self):
        """Return when a replica last worked on an item; now if one does."""
        if any(one.running for one in self.replicas.values()):
            return time.time()
        ends = [
            row[3] or row[2] for one in self.replicas.values() for row in one.runs
        ]
        return max(ends, default=0.0)

    async def stop(self):
        """End all processes and write what ran to the record."""
        for entry in self.entries:
            if entry.process and entry.process.returncode is None:
                entry.process.kill()
                await entry.process.wait()
        for task in self.tasks:
            task.cancel()
        for name, replica in self.replicas.items():
            for item, first, start_s, end_s, whole in replica.runs:
                self.record(
                    name,
                    f'ran {item} from event {first} at '
                    f'{start_s - self.record.started_s:.3f} to '
                    f'{end_s - self.record.started_s:.3f} '
                    f'{"to its end" if whole else "in part"}',
                )
        keep = os.environ.get('KEEP_LOGS')
        for entry in self.entries:
            if entry.log:
                entry.log.close()
            path = self.folder / f'{entry.name}.log'
            if keep and path.exists():
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        self.record.close()
        self.temporary.cleanup()


def batch_route(service, **changes):
    """Return a batch route with the figures of the sheet of barf-hub."""
    return {
        'name': 'r-round-plan',
        'host': 'ficu95.example',
        'prefix': '/pule252/',
        'kind': 'batch',
        'timeout-ms': 15000,
        'goal-ms': 400,
        'priority': 2,
        'service': service,
        'max-attempts': 3,
        'sticky': True,
        'resumable': True,
        'gap-target-ms': 250,
        'completion-target-ms': 18000,
        'max-wait-s': 60,
        'cap': 3100000,
        **changes,
    }


def engine(name):
    """Return a service of model replicas."""
    return {
        'name': name,
        'health-path': '/health',
        'max-conns': 310,
        'protocol': 'h1',
        'tls': False,
        'engine': {'slots': 8, 'kv-capacity': 106377, 'models': [{'name': 'm'}]},
    }
