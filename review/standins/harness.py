"""Starts proxies with the deploy file's command, plays callers and writes a record."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
STARTUP_LIMIT_S = 15.0
ANSWER_LIMIT_S = 3.0

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2

request_numbers = itertools.count(1)


class NotRunError(Exception):
    """The case could not run."""


def has_trouble() -> bool:
    """Return whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Recorder:
    """Writes what happens to `record.txt`, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started_s = time.monotonic()

    @property
    def elapsed_s(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.started_s

    def __call__(self, text: str) -> None:
        """Write one line."""
        printable = text.replace("\r", "\\r").replace("\n", "\\n")
        self.file.write(f"{self.elapsed_s:8.3f} {printable}\n")
        self.file.flush()


def find_free_port() -> int:
    """Return a port of the loopback address on which nothing listens."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Proxy:
    """One process of the project, started as the deploy file says."""

    def __init__(
        self,
        name: str,
        zone: str,
        store_port: int,
        folder: Path,
        log: Recorder,
        is_fenced: bool = True,
    ) -> None:
        self.name = name
        self.log = log
        self.front = find_free_port()
        self.health = find_free_port()
        self.metrics = find_free_port()
        inner = find_free_port()
        self.path = folder / f"{name}.conf"
        self.output = folder / f"{name}.log"
        self.path.write_text(
            "\n".join(
                (
                    f"nodeName={name}",
                    "role=proxy",
                    "machineClass=front",
                    "serves=front",
                    f"ip={HOST}",
                    f"zone={zone}",
                    "region=th-central",
                    f"listen.front={HOST}:{self.front}",
                    f"listen.healthAddr={HOST}:{self.health}",
                    f"internalPorts={inner},{inner}",
                    "bootstrap=true",
                    "limits.cpuShare=0.537",
                    "limits.cores=2",
                    "limits.memoryMb=300",
                    "limits.maxFds=4300",
                    "discovery=platform",
                    "entry=vip",
                    "heartbeatMs=1200",
                    "contracts=base,drain,config,cost,recover,sql,platform",
                    "bounds.contactMs=4000",
                    "bounds.drainMs=7000",
                    "bounds.graceS=6",
                    "bounds.configApplyMs=3000",
                    "bounds.recoveryS=12",
                    f"bounds.requireFencing={str(is_fenced).lower()}",
                    f"platform.address={HOST}:{store_port}",
                    "platform.form=kv",
                    "platform.writesPerS=400",
                    "platform.readsPerS=2000",
                    "platform.historyS=20",
                    "platform.valueBytes=1048576",
                    "platform.ttlMinMs=1000",
                    f"cloud.address={HOST}:{store_port}",
                    "cloud.dutyPerS=50.0",
                    "",
                )
            )
        )
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["proxy"]["run"].split()
        # The port of the metrics is the only word that differs: it has to be free.
        words[-1] = f"{HOST}:{self.metrics}"
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "EBONYRACK_NODE_FILE": str(self.path),
        }
        with self.output.open("ab") as output:
            self.process = subprocess.Popen(
                words,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.log(f"{self.name}: started, process {self.process.pid}")

    def kill(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            self.log(f"{self.name}: killed")

    async def ask_ready(self) -> int:
        """Return the status of `GET /ready`, 0 without an answer."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(HOST, self.health)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return int(line.split()[1])
        except (OSError, TimeoutError, IndexError, ValueError):
            return 0

    async def wait_until_ready(self) -> None:
        """Wait until it reports that it is ready."""
        deadline_s = time.monotonic() + STARTUP_LIMIT_S
        while await self.ask_ready() != 200:
            if time.monotonic() > deadline_s:
                raise NotRunError(f"{self.name} did not get ready")
            await asyncio.sleep(0.1)
        self.log(f"{self.name}: ready")


class Caller:
    """A client's session."""

    def __init__(self, proxy: Proxy, database: str, log: Recorder) -> None:
        self.proxy = proxy
        self.database = database
        self.log = log
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> str:
        """Open the session; return the answer to the startup."""
        try:
            async with asyncio.timeout(2.0):
                self.reader, self.writer = await asyncio.open_connection(
                    HOST, self.proxy.front
                )
                self.writer.write(f"STARTUP {self.database} u1\r\n".encode())
                line = await self.reader.readuntil(b"\r\n")
                return line.decode().strip()
        except (OSError, TimeoutError, EOFError) as error:
            return f"no answer: {error!r}"

    async def send(self, message: bytes) -> list[str]:
        """Send one message; return the lines of the answer."""
        assert self.reader is not None and self.writer is not None
        lines: list[str] = []
        try:
            async with asyncio.timeout(ANSWER_LIMIT_S):
                self.writer.write(message)
                while not lines or not lines[-1].startswith("READY"):
                    line = await self.reader.readuntil(b"\r\n")
                    lines.append(line.decode().rstrip("\r\n"))
        except (OSError, TimeoutError, EOFError) as error:
            lines.append(f"no answer: {error!r}")
        return lines

    async def query(self, text: str) -> tuple[str, list[str]]:
        """Send a statement; return its id and the lines of the answer."""
        request_id = f"{next(request_numbers):016x}"
        lines = await self.send(f"QUERY {request_id} {text}\r\n".encode())
        self.log(f"{self.proxy.name} {request_id} {text} -> {lines}")
        return request_id, lines

    def close(self) -> None:
        """Close the session."""
        if self.writer is not None:
            self.writer.close()


def is_success(lines: list[str]) -> bool:
    """Return whether an answer is a success."""
    return any(line.startswith("COMPLETE") for line in lines)


def build_config(
    version: int, databases: dict[str, str], service: str, timeout_ms: int = 800
) -> bytes:
    """Return a configuration with a route for each database, of the given kind."""
    routes: list[dict[str, Any]] = []
    for database, kind in databases.items():
        route: dict[str, Any] = {
            "name": f"r-{database}",
            "host": database,
            "prefix": "/",
            "kind": kind,
            "timeoutMs": timeout_ms,
            "targetLatencyMs": 250,
            "priority": 1,
            "service": service,
            "maxAttempts": 2,
        }
        if kind != "primary":
            route["maxStalenessMs"] = 1500
        routes.append(route)
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": [
                {
                    "name": service,
                    "healthPath": "/health",
                    "maxConnections": 22,
                    "protocol": "h1",
                    "tls": False,
                    "syncReplicas": 1,
                }
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
                "txIdleMs": 3000,
            },
        }
    ).encode()


def run_case(case: Any, folder: Path) -> None:
    """Run a case and exit with its status.

    Args:
        case: Coroutine function, called with a temporary folder and a recorder, that
            returns whether the rule held.
        folder: Folder of the case.
    """
    log = Recorder(folder)
    log(f"trouble={'yes' if has_trouble() else 'no'}")
    if not (ROOT / "target/deps").is_dir():
        log("target/deps is missing: run the build of the deploy file first")
        sys.exit(EXIT_NOT_RUN)
    scratch = Path(tempfile.mkdtemp(prefix="case-"))
    try:
        held = asyncio.run(case(scratch, log))
    except NotRunError as error:
        log(f"not run: {error}")
        sys.exit(EXIT_NOT_RUN)
    finally:
        shutil.rmtree(scratch, ignore_errors=True)
    log("the rule held" if held else "the rule was broken")
    print("held" if held else "broken")
    sys.exit(EXIT_HELD if held else EXIT_BROKEN)
