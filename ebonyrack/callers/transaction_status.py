"""Transaction statuses as ReadyForQuery names them."""

IDLE = "I"
OPEN = "T"
FAILED = "E"
