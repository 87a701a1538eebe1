"""Transaction status values of ReadyForQuery."""

IDLE = "I"
OPEN = "T"
FAILED = "E"
