"""Prints the resident memory that each library adds to a process, in megabytes."""

import sys
from pathlib import Path

MODULES = """
asyncio argparse loguru transitions result msgpack pygwire.messages
opentelemetry.metrics pydantic scramp httpcore postgast ebonyrack.service.proxy
""".split()


def read_resident_mb() -> float:
    """Return the resident memory of this process, in megabytes."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024 / 1_000_000
    raise OSError("no VmRSS in /proc/self/status")


def main() -> None:
    """Import the modules one after the other and print the memory that each added."""
    last_mb = read_resident_mb()
    print(
        f"| bare interpreter {sys.version.split()[0]} | {last_mb:.1f} | {last_mb:.1f} |"
    )
    for name in MODULES:
        __import__(name)
        current_mb = read_resident_mb()
        print(f"| `{name}` | {current_mb - last_mb:.1f} | {current_mb:.1f} |")
        last_mb = current_mb


if __name__ == "__main__":
    main()
