"""Measures the processor time that the reader of lines spends on one message.

    python demo/reader_cost.py

Each message has a given size and arrives in packets of a given size; `CR` messages
consist of carriage returns, the first half of a line's end.
"""

from __future__ import annotations

import time

from ebonyrack.core.line_stream import LineStream

PACKET_BYTES = (1, 1448, 65_536)
MESSAGE_BYTES = (60, 1_000, 65_536, 1_048_576)
MINIMUM_S = 0.4
ROUNDS = 5


def read_message(packets: list[bytes]) -> None:
    """Let a stream receive the packets of one message and read it."""
    stream = LineStream()
    stream.is_paused = True
    for packet in packets[:-1]:
        stream.data_received(packet)
        assert stream.pop_line() is None
    stream.data_received(packets[-1])
    assert stream.pop_line() is not None


def measure(packets: list[bytes]) -> float:
    """Return the least processor time a message of several rounds, in microseconds."""
    best_s = float("inf")
    for _ in range(ROUNDS):
        count, started_s = 0, time.process_time()
        while (elapsed_s := time.process_time() - started_s) < MINIMUM_S / ROUNDS:
            read_message(packets)
            count += 1
        best_s = min(best_s, elapsed_s / count)
    return best_s * 1e6


def main() -> None:
    """Run the program."""
    print("| message | packets | us a message | ns a byte |\n|---|---|---|---|")
    for size in MESSAGE_BYTES:
        for name, byte in (("text", b"x"), ("CR", b"\r")):
            message = byte * (size - 2) + b"\r\n"
            for packet in PACKET_BYTES:
                if packet > size > MESSAGE_BYTES[0] or size // packet > 100_000:
                    continue
                packets = [
                    message[start : start + packet] for start in range(0, size, packet)
                ]
                cost = measure(packets)
                print(
                    f"| {size} {name} | {packet} | {cost:.2f} |"
                    f" {1000 * cost / size:.2f} |"
                )


if __name__ == "__main__":
    main()
