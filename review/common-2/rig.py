"""Rig of the second review: the project's daemons and stand-ins around them.

It starts the programs of the deploy file as separate processes, with the
templates of the deploy file, each machine at a loopback address of its own.
Stand-ins for the servers (back ends), the platform's call POST /failover, the
operator and the clients run in this process, on asyncio.
"""

import asyncio
import hashlib
import hmac
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
METRICS_PORT = 9464  # fixed in the templates
RULE_BROKEN, RULE_HELD, NOT_RUN = 1, 0, 2
READY_SUFFIX = b"\r\n"


class CannotRun(Exception):
    """The case cannot run here; says nothing about the rule."""


# ---- record ----


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.begun = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begun

    def write(self, *words):
        line = "%8.3f  %s" % (self.now(), " ".join(str(word) for word in words))
        print(line, file=self.file, flush=True)
        print(line, flush=True)


# ---- templates of the deploy file ----


def lookup(fields, name):
    if name == ".":
        return fields
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
        if value is None:
            return None
    return value


def fill_template(text, fields):
    """Fills the placeholders and sections that the project's templates use."""

    def section(match):
        value = lookup(fields, match.group(1))
        if not value:
            return ""
        if not isinstance(value, list):
            return fill_template(match.group(2), fields)
        parts = []
        for index, item in enumerate(value):
            part = match.group(2).replace("{{.}}", str(item))
            comma = "," if index + 1 < len(value) else ""
            parts.append(part.replace("{{,}}", comma))
        return "".join(parts)

    def placeholder(match):
        value = lookup(fields, match.group(1))
        if isinstance(value, bool):
            return "true" if value else "false"
        return "" if value is None else str(value)

    pattern = r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}"
    text = re.sub(pattern, section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", placeholder, text)


def read_command(role):
    """Returns the words of `run` of a role in the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        text = file.read()
    part = text.split("[roles.%s]" % role, 1)[1]
    return re.search(r'^run = "([^"]*)"', part, flags=re.M).group(1).split()


# ---- addresses ----


def choose_network():
    """Returns two numbers of a loopback network that this run uses alone."""
    return random.randint(20, 250), random.randint(1, 250)


def choose_ports(addresses, count):
    """Returns ports that are free at all addresses, in a row."""
    for _ in range(200):
        first = random.randint(20000, 30000)
        held = []
        try:
            for address in addresses:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        sock = socket.socket(socket.AF_INET, kind)
                        held.append(sock)
                        sock.bind((address, port))
            return list(range(first, first + count))
        except OSError:
            continue
        finally:
            for sock in held:
                sock.close()
    raise CannotRun("no free ports")


# ---- daemons ----


def find_owner(peer, daemons):
    """Returns the daemon that holds the socket at an address, or None."""
    parts = [int(part) for part in peer[0].split(".")]
    local = "%02X%02X%02X%02X:%04X" % (parts[3], parts[2], parts[1], parts[0], peer[1])
    with open("/proc/net/tcp", encoding="ascii") as file:
        rows = [line.split() for line in file]
    names = {"socket:[%s]" % row[9] for row in rows if row[1] == local}
    for daemon in daemons:
        folder = "/proc/%d/fd" % daemon.process.pid
        for number in os.listdir(folder):
            try:
                if os.readlink(os.path.join(folder, number)) in names:
                    return daemon
            except OSError:
                continue
    return None


class Daemon:
    """One process of the project on a machine of its own."""

    def __init__(self, rig, role, name, zone, address):
        self.rig = rig
        self.role = role
        self.name = name
        self.zone = zone
        self.address = address
        self.process = None
        self.starts = 0

    def start(self):
        rig = self.rig
        folder = os.path.join(rig.folder, self.name)
        os.makedirs(os.path.join(folder, "data"), exist_ok=True)
        fields = {
            "node": self.name,
            "zone": self.zone,
            "region": self.zone,
            "ip": self.address,
            "portRange": [rig.rpc_port, rig.relay_port],
            "listen": {
                "front": "%s:%d" % (self.address, rig.front_port),
                "ready": "%s:%d" % (self.address, rig.ready_port),
                "control": "%s:%d" % (self.address, rig.control_port),
            },
            "cloudApi": {"addr": "%s:%d" % (rig.platform_address, rig.control_port)},
            "dataDir": os.path.join(folder, "data"),
            "seeds": ["%s:%d" % (address, rig.control_port) for address in self.seeds()],
            "bootstrap": self.starts == 0,
            "faultTolerance": {"machines": 1},
            "bounds": {"drainMs": 7000},
        }
        template = "control.json" if self.role == "control" else "entry.json"
        with open(os.path.join(ROOT, "deploy", template), encoding="utf-8") as file:
            text = fill_template(file.read(), fields)
        path = os.path.join(folder, "local.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        words = read_command(self.role)
        words = [path if word.startswith("/etc/") else word for word in words]
        words[0] = os.path.join(ROOT, words[0])
        self.log_path = os.path.join(folder, "log")
        log = open(self.log_path, "ab")
        self.process = subprocess.Popen(words, stdout=log, stderr=log, cwd=ROOT)
        log.close()
        self.starts += 1

    def seeds(self):
        """Returns the addresses of the machines of control as this one knows them."""
        link = self.rig.links.get(self.name)
        return link.core_addresses if link else [core.address for core in self.rig.cores]

    def freeze(self):
        self.process.send_signal(signal.SIGSTOP)

    def thaw(self):
        self.process.send_signal(signal.SIGCONT)

    def read_log(self):
        """Returns the events of the log, each as a dictionary."""
        events = []
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            for line in file:
                try:
                    events.append(json.loads(line))
                except ValueError:
                    continue
        return events

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


# ---- HTTP ----


async def call_http(address, port, method, path, body=None, timeout_s=1.0):
    """Makes one HTTP call. Returns the status; 0: no answer."""

    async def run():
        reader, writer = await asyncio.open_connection(address, port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            head = (
                "%s %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
                "Content-Length: %d\r\nConnection: close\r\n\r\n" % (method, path, len(data))
            )
            writer.write(head.encode() + data)
            await writer.drain()
            answer = await reader.read(-1)
            return int(answer.split(b" ", 2)[1])
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), timeout_s)
    except (OSError, ValueError, IndexError, asyncio.TimeoutError):
        return 0


# ---- link between a machine and control ----


class ControlLink:
    """A proxy between one front machine and control, which can be cut.

    Datagrams between daemons carry addresses. The proxy translates them, so
    that both sides know only its addresses, and signs the datagram again; in
    the template the key is empty.
    """

    REPLY, FRAGMENT = 1, 2
    HMAC_OFFSETS = {0: 48, 1: 20, 2: 24}  # of a call, a reply, a fragment
    HMAC_BYTES = 32

    def __init__(self, rig, entry):
        self.rig = rig
        self.entry = entry
        self.is_cut = False
        self.core_addresses = [rig.make_address(60 + i) for i in range(len(rig.cores))]
        self.entry_address = rig.make_address(70)
        self.sockets = {}

    def start(self):
        loop = asyncio.get_event_loop()
        for address in self.core_addresses + [self.entry_address]:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.bind((address, self.rig.rpc_port))
            self.sockets[address] = sock
            loop.add_reader(sock, self.forward, address)

    def translate(self, data, names):
        for old, new in names:
            if len(old) != len(new):
                raise CannotRun("addresses of different lengths")
            size = len(old).to_bytes(4, "big")
            data = data.replace(size + old.encode(), size + new.encode())
        offset = self.HMAC_OFFSETS.get(int.from_bytes(data[4:8], "big"))
        if offset is None or len(data) < offset + self.HMAC_BYTES:
            return data
        end = offset + self.HMAC_BYTES
        blank = data[:offset] + bytes(self.HMAC_BYTES) + data[end:]
        return data[:offset] + hmac.new(b"", blank, hashlib.sha256).digest() + data[end:]

    def forward(self, address):
        port = self.rig.rpc_port
        cores = [core.address for core in self.rig.cores]
        while True:
            try:
                data, peer = self.sockets[address].recvfrom(65536)
            except OSError:
                return
            if self.is_cut:
                continue
            if address == self.entry_address:
                if peer[0] not in cores:
                    continue
                data = self.translate(data, list(zip(cores, self.core_addresses)))
                source = self.core_addresses[cores.index(peer[0])]
                self.sockets[source].sendto(data, (self.entry.address, port))
            else:
                data = self.translate(data, [(self.entry.address, self.entry_address)])
                core = cores[self.core_addresses.index(address)]
                self.sockets[self.entry_address].sendto(data, (core, port))

    def end(self):
        for sock in self.sockets.values():
            sock.close()


# ---- servers ----


class Commit:
    """A commit in the log of a service."""

    def __init__(self, term, number, writes):
        self.term = term
        self.number = number
        self.writes = writes  # (id of the statement, item, data)
        self.time = time.monotonic()
        self.seen = None  # seconds of the record

    def position(self):
        return "%d.%d" % (self.term, self.number)


class Server:
    """A back end of a service: a primary or a replica with a log."""

    HEARTBEAT_S = 1.2

    def __init__(self, service, index, address):
        self.service = service
        self.index = index
        self.id = "i-%s-%d" % (service.name, index)
        self.address = address
        self.is_primary = index == 0
        self.term = 1
        self.log = []
        self.held = 0  # commits of the log that are applied
        self.sequence = 0
        self.born_ms = int(time.time() * 1000)
        self.connections = 0
        self.is_cut = False  # from all but the machines in kept
        self.kept = set()
        self.reaches_primary_since = None

    async def start(self):
        rig = self.service.rig
        self.listener = await asyncio.start_server(self.serve, self.address, rig.front_port)
        self.tasks = [
            asyncio.ensure_future(self.announce()),
            asyncio.ensure_future(self.replicate()),
        ]

    async def announce(self):
        """Sends heartbeats to a machine of control, and to the next without an answer."""
        rig = self.service.rig
        while True:
            if self.is_cut:
                await asyncio.sleep(0.05)
                continue
            self.sequence += 1
            body = {
                "service": self.service.name,
                "addr": "%s:%d" % (self.address, rig.front_port),
                "zone": rig.zones[self.index % len(rig.zones)],
                "version": "v1",
                "slots": self.service.slots,
                "state": "ready",
                "coldLeftMs": 0,
                "dbRole": "primary" if self.is_primary else "replica",
                "seq": self.sequence,
                "born": self.born_ms,
            }
            for offset in range(len(rig.cores)):
                core = rig.cores[(self.index + offset) % len(rig.cores)]
                path = "/v1/instances/" + self.id
                status = await call_http(core.address, rig.control_port, "PUT", path, body)
                if 200 <= status < 300:
                    break
            await asyncio.sleep(self.HEARTBEAT_S)

    async def replicate(self):
        """Applies the commits of the primary, lag_s after they were made. An
        old primary steps down a second after it can reach the new one."""
        while True:
            await asyncio.sleep(0.002)
            primary = self.service.primary
            now = time.monotonic()
            if primary is self or self.is_cut or primary.is_cut:
                self.reaches_primary_since = None
            elif self.reaches_primary_since is None:
                self.reaches_primary_since = now
            if self.is_primary and primary is not self:
                since = self.reaches_primary_since
                if since is not None and now - since >= 1:
                    self.is_primary = False
            if self.is_primary:
                self.held = len(self.log)
                continue
            if self.is_cut or primary.is_cut:
                continue
            self.term = primary.term
            same = 0
            while same < min(len(self.log), len(primary.log)) and (
                self.log[same] is primary.log[same]
            ):
                same += 1
            self.log = primary.log[:]
            self.held = min(self.held, same)
            until = now - self.service.lag_s
            while self.held < len(self.log) and self.log[self.held].time <= until:
                self.held += 1

    def position(self):
        return self.log[self.held - 1].position() if self.held > 0 else "1.0"

    def has(self, position):
        term, number = (int(part) for part in position.split("."))
        own_term, own_number = (int(part) for part in self.position().split("."))
        return (own_term, own_number) >= (term, number)

    def read(self, item):
        for commit in reversed(self.log[: self.held]):
            for _, written, data in reversed(commit.writes):
                if written == item:
                    return data
        return "-"

    def commit(self, writes):
        commit = Commit(self.term, len(self.log) + 1, writes)
        commit.seen = self.service.rig.record.now()
        self.log.append(commit)
        self.held = len(self.log)
        for statement_id, _, _ in writes:
            self.service.rig.commits[statement_id] = (self, commit)

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            line = (await reader.readuntil(READY_SUFFIX))[:-2].decode("latin1").split(" ")
            if line[0] != "STARTUP" or line[1] != self.service.name or line[3:] not in ([], [self.id]):
                writer.write(b"ERROR MISROUTED another server\r\n")
                return
            if self.connections > self.service.max_connections:
                writer.write(b"ERROR CONNLIMIT too many\r\n")
                return
            await asyncio.sleep(self.service.handshake_s)
            await self.wait_reachable(writer)
            writer.write(("READY I %s\r\n" % self.position()).encode())
            await self.serve_requests(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections -= 1
            writer.close()

    async def wait_reachable(self, writer):
        while self.is_cut and self.service.rig.find_machine(writer) not in self.kept:
            await asyncio.sleep(0.02)

    def cut(self, entries):
        """Cuts the server off from its replicas, control and all front machines
        but these."""
        self.kept = set(entries)
        self.is_cut = True

    def heal(self):
        self.is_cut = False
        self.kept = set()

    async def serve_requests(self, reader, writer):
        session = {"state": "I", "writes": [], "values": {}, "prepared": {}}
        while True:
            line = (await reader.readuntil(READY_SUFFIX))[:-2].decode("latin1")
            await self.wait_reachable(writer)
            if line == "TERMINATE":
                return
            _, statement_id, text = line.split(" ", 2)
            answer = await self.run(session, statement_id, text)
            answer.append("READY %s %s" % (session["state"], self.position()))
            writer.write(("\r\n".join(answer) + "\r\n").encode("latin1"))

    async def run(self, session, statement_id, text):
        """Runs one request. Returns the lines of its answer before READY."""
        words = text.split(" ")
        after = None
        if words[0] == "AFTER":
            after, words = words[1], words[2:]
        if words[0] == "EXECUTE":
            if words[1] not in session["prepared"]:
                return ["ERROR NOSTMT no such name"]
            words = [session["prepared"][words[1]]] + words[2:]
        verb = words[0]
        signature = "COMPLETE sig-%s" % statement_id
        if session["state"] == "E" and verb not in ("COMMIT", "ROLLBACK"):
            return ["ERROR MALFORMED the transaction has failed"]
        if verb == "STATUS":
            role = "primary" if self.is_primary else "replica"
            last = self.log[-1].position() if self.log else "1.0"
            row = "DATAROW %s %d %s 0 0 0 %d" % (role, self.term, last, self.connections)
            return [row, "COMPLETE -"]
        if verb == "STEPDOWN":
            if self.is_primary and self.term < int(words[1]):
                self.is_primary = False
                self.service.rig.record.write("%s steps down" % self.id)
            role = "primary" if self.is_primary else "replica"
            last = self.log[-1].position() if self.log else "1.0"
            row = "DATAROW %s %d %s 0 0 0 %d" % (role, self.term, last, self.connections)
            return [row, "COMPLETE -"]
        if verb == "RESET":
            session["values"], session["prepared"] = {}, {}
        elif verb == "SET":
            session["values"][words[1]] = " ".join(words[2:])
        elif verb == "PREPARE":
            session["prepared"][words[1]] = words[2]
        elif verb == "CLOSE":
            session["prepared"].pop(words[1], None)
        elif verb == "BEGIN":
            if len(words) == 1 and not self.is_primary:
                return ["ERROR READONLY " + self.id]
            if after is not None and not self.has(after):
                return ["ERROR LAGGING " + self.id]
            session["state"], session["writes"] = "T", []
        elif verb == "ROLLBACK":
            session["state"] = "I"
        elif verb == "COMMIT":
            if session["state"] == "E":
                session["state"] = "I"
                return ["COMPLETE -"]
            await asyncio.sleep(self.service.work_s)
            if session["writes"] and not self.is_primary:
                session["state"] = "E"
                return ["ERROR READONLY " + self.id]
            if session["writes"]:
                self.commit(session["writes"])
            session["state"] = "I"
            return [signature]
        elif verb == "READ":
            if after is not None and not self.has(after):
                return ["ERROR LAGGING " + self.id]
            rig = self.service.rig
            rig.runs[statement_id] = (self, self.log[: self.held], self.position())
            data = self.read(words[1])
            await asyncio.sleep(self.service.work_s)
            return ["DATAROW " + data, signature]
        elif verb == "WRITE":
            if not self.is_primary:
                return ["ERROR READONLY " + self.id]
            await asyncio.sleep(self.service.work_s)
            write = (statement_id, words[1], " ".join(words[2:]))
            if session["state"] == "T":
                session["writes"].append(write)
            else:
                self.commit([write])
            return [signature]
        else:
            return ["ERROR MALFORMED no such request"]
        return ["COMPLETE -"]


class Service:
    """A service: one primary and two replicas."""

    def __init__(self, rig, index, name, lag_s, work_s, slots, max_connections):
        self.rig = rig
        self.name = name
        self.lag_s = lag_s
        self.work_s = work_s
        self.slots = slots
        self.max_connections = max_connections
        self.handshake_s = 0.012
        self.promote_s = 1.0
        self.servers = [Server(self, i, rig.make_address(100 + 10 * index + i)) for i in range(3)]
        self.primary = self.servers[0]


# ---- operator, clients and the whole ----


def make_route(host, kind, service, timeout_ms, target_ms, max_staleness_ms=None):
    route = {
        "name": "r-" + host,
        "host": host,
        "pathPrefix": "/",
        "routeKind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": target_ms,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
    }
    if max_staleness_ms is not None:
        route["maxStalenessMs"] = max_staleness_ms
    return route


class Client:
    """A client's session at one machine."""

    count = 0

    def __init__(self, rig, entry, database):
        self.rig = rig
        self.entry = entry
        self.database = database

    async def open(self):
        """Returns whether the session has started."""
        Client.count += 1
        self.reader, self.writer = await asyncio.open_connection(
            self.entry.address, self.rig.front_port
        )
        self.writer.write(("STARTUP %s u%d\r\n" % (self.database, Client.count)).encode())
        line = await asyncio.wait_for(self.reader.readuntil(READY_SUFFIX), 2)
        return line.startswith(b"READY")

    async def query(self, text, timeout_s=5.0):
        """Sends one request. Returns its id, the time when it was sent, its end
        and its rows."""
        statement_id = "%016x" % random.getrandbits(64)
        sent = self.rig.record.now()
        self.writer.write(("QUERY %s %s\r\n" % (statement_id, text)).encode())
        end, rows = "", []
        while True:
            line = await asyncio.wait_for(self.reader.readuntil(READY_SUFFIX), timeout_s)
            line = line[:-2].decode("latin1")
            if line.startswith("READY"):
                return statement_id, sent, end, rows
            if line.startswith("DATAROW"):
                rows.append(line[len("DATAROW ") :])
            else:
                end = line

    def close(self):
        self.writer.close()


class Rig:
    """The machines, the servers, the platform and the operator of a case."""

    zones = ["groningen-a", "utrecht-a", "eindhoven-a"]

    def __init__(self, record, fronts):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.network = choose_network()
        self.cores = [
            Daemon(self, "control", "core-%d" % i, self.zones[i], self.make_address(10 + i))
            for i in range(3)
        ]
        self.entries = [
            Daemon(self, "entry", "front-%d" % i, self.zones[i % 3], self.make_address(20 + i))
            for i in range(fronts)
        ]
        self.platform_address = self.make_address(5)
        self.links = {}  # name of a front machine: its link to control
        self.promotions = []  # (time of the effect, server)
        self.services = []
        self.version = 0
        self.commits = {}  # statement id: (server, commit)
        self.runs = {}  # id of a READ: (server, its log when it ran, position)

    def make_address(self, host):
        return "127.%d.%d.%d" % (self.network[0], self.network[1], host)

    def add_service(self, name, lag_s, work_s, slots=5, max_connections=33):
        index = len(self.services)
        service = Service(self, index, name, lag_s, work_s, slots, max_connections)
        self.services.append(service)
        return service

    async def start(self, routes):
        if not os.path.exists(os.path.join(ROOT, read_command("entry")[0])):
            raise CannotRun("the build of the deploy file is missing")
        addresses = [daemon.address for daemon in self.cores + self.entries]
        addresses += [server.address for service in self.services for server in service.servers]
        for link in self.links.values():
            addresses += link.core_addresses + [link.entry_address]
        ports = choose_ports(addresses + [self.platform_address], 5)
        self.rpc_port, self.relay_port, self.front_port = ports[:3]
        self.ready_port, self.control_port = ports[3:]
        self.platform = await asyncio.start_server(
            self.serve_platform, self.platform_address, self.control_port
        )
        for service in self.services:
            for server in service.servers:
                await server.start()
        for link in self.links.values():
            link.start()
        for daemon in self.cores + self.entries:
            daemon.start()
        await self.put_config(routes)
        for entry in self.entries:
            await self.wait_ready(entry)

    def add_link(self, entry):
        """Puts a proxy between a front machine and control. Call it before start."""
        self.links[entry.name] = ControlLink(self, entry)
        return self.links[entry.name]

    async def serve_platform(self, reader, writer):
        """Answers POST /failover; the named server leads some time later."""
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            fields = dict(re.findall(r"^([\w-]+): *(.*?)\r$", head, flags=re.M))
            fields = {name.lower(): value for name, value in fields.items()}
            body = json.loads(await reader.readexactly(int(fields["content-length"])))
            service = next(one for one in self.services if one.name == body["service"])
            server = next(one for one in service.servers if one.id == body["id"])
            self.record.write(
                "platform: POST /failover of %s by %s, fence %s"
                % (server.id, fields.get("duty-holder"), fields.get("fencing-token"))
            )
            if server is not service.primary:
                asyncio.ensure_future(self.promote(service, server))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def promote(self, service, server):
        await asyncio.sleep(service.promote_s)
        server.term = max(one.term for one in service.servers) + 1
        server.is_primary = True
        server.held = len(server.log)
        service.primary = server
        self.promotions.append((self.record.now(), server))
        self.record.write("platform: %s leads term %d" % (server.id, server.term))

    def find_machine(self, writer):
        """Returns the daemon that made a connection to a server, or None."""
        if not hasattr(writer, "machine"):
            writer.machine = find_owner(writer.get_extra_info("peername"), self.entries)
        return writer.machine

    async def wait_ready(self, entry):
        for _ in range(400):
            if await call_http(entry.address, self.ready_port, "GET", "/readyz") == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRun("%s does not become ready" % entry.name)

    async def put_config(self, routes):
        """Sends a configuration until it is acknowledged."""
        self.version += 1
        body = {
            "version": self.version,
            "routes": routes,
            "services": [
                {
                    "name": service.name,
                    "healthPath": "/health",
                    "maxConns": service.max_connections,
                    "protocol": "h1",
                    "tls": False,
                    "syncReplicas": 0,
                }
                for service in self.services
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
                "txIdleMs": 3000,
            },
        }
        for attempt in range(300):
            core = self.cores[attempt % len(self.cores)]
            status = await call_http(core.address, self.control_port, "PUT", "/v1/config", body)
            if status == 200:
                self.record.write("operator: version %d acknowledged" % body["version"])
                return
            await asyncio.sleep(0.05)
        raise CannotRun("no configuration is acknowledged")

    async def wait_served(self, entry, database):
        """Waits until a READ of a database succeeds at a machine."""
        for _ in range(200):
            client = Client(self, entry, database)
            try:
                if await client.open():
                    _, _, end, _ = await client.query("READ k")
                    if end.startswith("COMPLETE"):
                        return
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            finally:
                if hasattr(client, "writer"):
                    client.close()
            await asyncio.sleep(0.1)
        raise CannotRun("%s does not serve %s" % (entry.name, database))

    def find_leader(self):
        """Returns the machine of control that leads, by its own log."""
        found, newest = self.cores[0], -1
        for core in self.cores:
            for event in core.read_log():
                if event.get("event") == "group_role" and event.get("role") == "leader":
                    if int(event["term"]) > newest:
                        found, newest = core, int(event["term"])
        return found

    def end(self):
        for daemon in self.cores + self.entries:
            daemon.end()
        for link in self.links.values():
            link.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(play, record_path, limit_s=112):
    """Plays a case and exits with its result. play(record) is a coroutine that
    returns whether the rule was broken; it ends its rig itself."""

    def stop(number, frame):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, stop)
    record = Record(record_path)
    record.write("TROUBLE=%d" % TROUBLE)
    status = NOT_RUN
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda loop, context: None)
    asyncio.set_event_loop(loop)
    try:
        broken = loop.run_until_complete(asyncio.wait_for(play(record), limit_s))
        status = RULE_BROKEN if broken else RULE_HELD
    except CannotRun as error:
        record.write("cannot run: %s" % error)
    except asyncio.TimeoutError:
        record.write("cannot run: it took too long")
    except KeyboardInterrupt:
        record.write("stopped")
    record.write({1: "the rule was broken", 0: "the rule held", 2: "not run"}[status])
    sys.stdout.flush()
    os._exit(status)
