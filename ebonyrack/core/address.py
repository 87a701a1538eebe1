"""Network addresses of IP number and port."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass
from functools import lru_cache

ADDRESS_CACHE_SIZE = 4096


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """An IP number and a port.

    Attributes:
        host: IP number in text form; never a host name.
        port: Port number, 0 to let the system choose one when listening.
    """

    host: str
    port: int

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


# Most messages of peers repeat the addresses of the same members.
@lru_cache(maxsize=ADDRESS_CACHE_SIZE)
def parse_address(text: str) -> Address:
    """Parse an address from `IP:port` or `[IPv6]:port`.

    Args:
        text: The address.

    Returns:
        The address.

    Raises:
        ValueError: If the host is no IP number or the port is out of range.
    """
    host, colon, port = text.strip().rpartition(":")
    if not colon or not (port.isascii() and port.isdecimal()) or int(port) > 65535:
        raise ValueError(f"not an IP:port address: {text!r}")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(f"not an IP number: {host!r} in {text!r}") from None
    return Address(host, int(port))
