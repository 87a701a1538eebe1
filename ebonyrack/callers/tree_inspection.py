"""What in a statement makes it a write, or more than a pooled connection allows."""

from __future__ import annotations

from typing import Any

from ebonyrack.callers.parse_tree import iterate_nodes
from ebonyrack.callers.read_functions import READ_FUNCTIONS
from ebonyrack.callers.read_functions import READ_OPERATORS
from ebonyrack.callers.read_functions import RESERVED_FUNCTION_PREFIX
from ebonyrack.callers.read_functions import SESSION_FUNCTIONS
from ebonyrack.callers.statement_kinds import READ
from ebonyrack.callers.statement_kinds import UNSURE
from ebonyrack.callers.statement_kinds import WRITE
from ebonyrack.callers.statement_kinds import Statement
from ebonyrack.callers.statement_kinds import refuse

WRITING_NODES = frozenset(
    {
        "InsertStmt",
        "UpdateStmt",
        "DeleteStmt",
        "MergeStmt",
        "LockingClause",
        "IntoClause",
    }
)
UNSUPPORTED_NODES = {
    "ExecuteStmt": "prepared statements by SQL belong to a session",
    "PrepareStmt": "prepared statements by SQL belong to a session",
    "CopyStmt": "COPY is not relayed",
    "ListenStmt": "notifications belong to a session",
    "UnlistenStmt": "notifications belong to a session",
    "NotifyStmt": "notifications belong to a session",
    "LoadStmt": "LOAD changes the session",
}


def examine_tree(node: Any, is_read: bool) -> Statement:
    """Look at every node of a statement for what makes it a write or unsupported.

    Args:
        node: Statement node.
        is_read: Whether it is a read unless a node says otherwise.

    Returns:
        The statement.
    """
    is_literal_free = True
    for child in iterate_nodes(node):
        kind = type(child).__name__
        if kind in WRITING_NODES:
            is_read = False
        elif kind == "RangeVar" and is_temporary(child):
            return refuse("temporary tables belong to a session")
        elif kind in UNSUPPORTED_NODES:
            return refuse(UNSUPPORTED_NODES[kind])
        elif kind == "A_Expr":
            is_read = is_read and is_read_operator(child)
        elif kind == "FuncCall":
            name, is_standard = read_function_name(child)
            reason = find_function_fault(name, child)
            if reason:
                return refuse(reason)
            is_literal_free = is_literal_free and name != "set_config"
            is_read = is_read and is_standard and name in READ_FUNCTIONS
    if is_read:
        return READ
    return WRITE if is_literal_free else UNSURE


def is_temporary(table: Any) -> bool:
    """Whether a table reference names a temporary table.

    Args:
        table: RangeVar node.
    """
    return table.relpersistence == "t" or table.schemaname.startswith("pg_temp")


def is_read_operator(expression: Any) -> bool:
    """Whether an operator is known not to write.

    Args:
        expression: A_Expr node.
    """
    names = [part.string.sval for part in expression.name]
    if len(names) > 1 and names[0] != "pg_catalog":
        return False
    return names[-1] in READ_OPERATORS


def read_function_name(call: Any) -> tuple[str, bool]:
    """Return a function's name and whether it is in no schema of the callers'.

    Args:
        call: FuncCall node.
    """
    names = [part.string.sval for part in call.funcname]
    return names[-1], len(names) == 1 or names[0] == "pg_catalog"


def find_function_fault(name: str, call: Any) -> str:
    """Say why a function can't be called over a pooled connection.

    Args:
        name: Name of the function.
        call: FuncCall node.

    Returns:
        The reason, or an empty string.
    """
    if name.startswith(RESERVED_FUNCTION_PREFIX):
        return f"function {name} is reserved for the proxy"
    if name in SESSION_FUNCTIONS:
        return f"function {name} belongs to a session"
    if name == "set_config" and not is_local_setting(call):
        return "set_config changes the session unless its third argument is true"
    return ""


def is_local_setting(call: Any) -> bool:
    """Whether a call of set_config is surely for one transaction only.

    Args:
        call: FuncCall node of set_config.
    """
    if len(call.args) != 3:
        return False
    return bool(call.args[2].a_const.boolval.boolval)
