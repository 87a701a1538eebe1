"""Rules that classify parsed statements by their node type."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from postgast import pg_query_pb2

from ebonyrack.callers.parse_tree import unwrap
from ebonyrack.callers.statement_kinds import EMPTY
from ebonyrack.callers.statement_kinds import READ
from ebonyrack.callers.statement_kinds import UNSHARED_WRITE
from ebonyrack.callers.statement_kinds import WRITE
from ebonyrack.callers.statement_kinds import Statement
from ebonyrack.callers.statement_kinds import StatementKind
from ebonyrack.callers.statement_kinds import build_unsupported
from ebonyrack.callers.tree_inspection import get_function_name
from ebonyrack.callers.tree_inspection import inspect_tree
from ebonyrack.core.registry import Registry

# Option bit of DeclareCursorStmt for WITH HOLD.
CURSOR_OPTION_HOLD = 0x0020
VARIABLE_PREFIX = "ebonyrack."
PROXY_VARIABLES = frozenset({"application_name", "client_encoding"})
# Upstream connections have fixed values of these; a session may set no other value.
FIXED_VARIABLES = frozenset(
    """
    client_min_messages datestyle default_transaction_isolation
    default_transaction_read_only extra_float_digits geqo intervalstyle jit search_path
    standard_conforming_strings timezone transaction_isolation transaction_read_only
    """.split()
)
# Their values differ between primary and replica.
PRIMARY_VARIABLES = frozenset(
    {"transaction_read_only", "default_transaction_read_only", "in_hot_standby"}
)
SAVEPOINT_KINDS = frozenset(
    {"TRANS_STMT_SAVEPOINT", "TRANS_STMT_RELEASE", "TRANS_STMT_ROLLBACK_TO"}
)
# Kinds that may be combined in one text, which runs as one implicit transaction.
COMBINABLE_KINDS = frozenset({StatementKind.READ, StatementKind.WRITE})
# Fields that are set in a SELECT of expressions without any clause.
PLAIN_SELECT_FIELDS = frozenset({"target_list", "limit_option", "op"})

Rule = Callable[[Any], Statement]
STATEMENT_RULES: Registry[Rule] = Registry("statement rule")


def classify_tree(tree: Any) -> Statement:
    """Classify a parsed text.

    Args:
        tree: Parse tree of the text.

    Returns:
        The statement. Several statements in one text are one implicit transaction,
        which is a write unless all of them are reads.
    """
    statements = [classify_node(unwrap(raw.stmt)) for raw in tree.stmts]
    if not statements:
        return EMPTY
    if len(statements) == 1:
        return statements[0]
    if all(is_session_reset(unwrap(raw.stmt)) for raw in tree.stmts):
        return Statement(StatementKind.DISCARD, variable="session")
    for statement in statements:
        if statement.kind is StatementKind.UNSUPPORTED:
            return statement
        if statement.kind not in COMBINABLE_KINDS:
            return build_unsupported(
                f"{statement.kind} can't be combined with other statements"
            )
    if all(statement.kind is StatementKind.READ for statement in statements):
        return READ
    return WRITE if all(item.is_shared for item in statements) else UNSHARED_WRITE


def is_session_reset(node: Any) -> bool:
    """Return whether a statement only resets session state.

    Connection pools of drivers send several of these in one text when a connection is
    returned.

    Args:
        node: Statement node.
    """
    match type(node).__name__:
        case "ClosePortalStmt":
            return not node.portalname
        case "UnlistenStmt":
            return not node.conditionname
        case "VariableSetStmt":
            return node.kind == pg_query_pb2.VAR_RESET_ALL
        case "DiscardStmt":
            return True
        case "SelectStmt":
            return is_unlock_call(node)
    return False


def is_unlock_call(node: Any) -> bool:
    """Return whether a SELECT only calls pg_advisory_unlock_all.

    Args:
        node: SelectStmt node.
    """
    if {field.name for field, _ in node.ListFields()} - PLAIN_SELECT_FIELDS:
        return False
    targets = [target.res_target.val for target in node.target_list]
    if len(targets) != 1 or not targets[0].HasField("func_call"):
        return False
    call = targets[0].func_call
    name = get_function_name(call)
    return name == ("pg_advisory_unlock_all", True) and not call.args


def classify_node(node: Any) -> Statement:
    """Classify one statement of a parse tree.

    Args:
        node: Statement node.

    Returns:
        The statement.
    """
    rule = STATEMENT_RULES.entries.get(type(node).__name__)
    if rule is not None:
        return rule(node)
    return inspect_tree(node, is_read=False)


@STATEMENT_RULES.register("SelectStmt")
def classify_select(node: Any) -> Statement:
    """Classify SELECT, VALUES and TABLE."""
    return inspect_tree(node, is_read=True)


@STATEMENT_RULES.register("ExplainStmt")
def classify_explain(node: Any) -> Statement:
    """Classify EXPLAIN by the statement that it explains."""
    query = unwrap(node.query)
    return inspect_tree(node, is_read=type(query).__name__ == "SelectStmt")


@STATEMENT_RULES.register("TransactionStmt")
def classify_transaction(node: Any) -> Statement:
    """Classify transaction control statements."""
    kind = pg_query_pb2.TransactionStmtKind.Name(node.kind)
    if node.chain:
        return build_unsupported(
            "AND CHAIN needs the same connection after the transaction"
        )
    if kind in ("TRANS_STMT_BEGIN", "TRANS_STMT_START"):
        return Statement(
            StatementKind.BEGIN, read_only=requests_read_only(node.options)
        )
    if kind == "TRANS_STMT_COMMIT":
        return Statement(StatementKind.COMMIT)
    if kind == "TRANS_STMT_ROLLBACK":
        return Statement(StatementKind.ROLLBACK)
    if kind in SAVEPOINT_KINDS:
        return UNSHARED_WRITE
    return build_unsupported("two-phase commit outlives the connection")


def requests_read_only(options: Any) -> bool:
    """Return whether the options of BEGIN request READ ONLY; the last one counts.

    Args:
        options: DefElem nodes.
    """
    read_only = False
    for option in options:
        if option.def_elem.defname == "transaction_read_only":
            read_only = option.def_elem.arg.a_const.ival.ival == 1
    return read_only


@STATEMENT_RULES.register("VariableSetStmt")
def classify_set(node: Any) -> Statement:
    """Classify SET and RESET."""
    kind = pg_query_pb2.VariableSetKind.Name(node.kind)
    name = node.name.lower()
    if kind == "VAR_RESET_ALL":
        return Statement(StatementKind.DISCARD, variable="variables")
    is_proxy_variable = name.startswith(VARIABLE_PREFIX) or name in PROXY_VARIABLES
    if is_proxy_variable and node.is_local:
        return build_unsupported(f"SET LOCAL is not supported for {name}")
    if node.is_local or name == "transaction":
        return UNSHARED_WRITE
    if is_proxy_variable or name in FIXED_VARIABLES:
        return Statement(StatementKind.SET_VARIABLE, name, format_value(node.args))
    return build_unsupported(
        f"{name} is a session setting; use SET LOCAL in a transaction"
    )


def format_value(arguments: Any) -> str:
    """Return the value of a SET as text.

    Args:
        arguments: A_Const nodes.
    """
    parts = []
    for argument in arguments:
        constant = argument.a_const
        if constant.HasField("ival"):
            parts.append(str(constant.ival.ival))
        elif constant.HasField("fval"):
            parts.append(constant.fval.fval)
        else:
            parts.append(constant.sval.sval)
    return ", ".join(parts)


@STATEMENT_RULES.register("VariableShowStmt")
def classify_show(node: Any) -> Statement:
    """Classify SHOW."""
    name = node.name.lower()
    if name.startswith(VARIABLE_PREFIX) or name in PROXY_VARIABLES:
        return Statement(StatementKind.SHOW_VARIABLE, name)
    return (
        UNSHARED_WRITE if name in PRIMARY_VARIABLES else Statement(StatementKind.READ)
    )


@STATEMENT_RULES.register("DiscardStmt")
def classify_discard(node: Any) -> Statement:
    """Classify DISCARD."""
    target = pg_query_pb2.DiscardMode.Name(node.target)
    variable = target.removeprefix("DISCARD_").lower()
    return Statement(StatementKind.DISCARD, variable=variable)


@STATEMENT_RULES.register("DeallocateStmt")
def classify_deallocate(node: Any) -> Statement:
    """Classify DEALLOCATE, with which drivers drop prepared statements."""
    if node.isall:
        return Statement(StatementKind.DISCARD, variable="statements")
    return Statement(StatementKind.DISCARD, variable="statement", value=node.name)


@STATEMENT_RULES.register("DeclareCursorStmt")
def classify_cursor(node: Any) -> Statement:
    """Classify DECLARE; only cursors that end with the transaction are supported."""
    if node.options & CURSOR_OPTION_HOLD:
        return build_unsupported("a cursor WITH HOLD outlives the transaction")
    statement = inspect_tree(node, is_read=False)
    return UNSHARED_WRITE if statement is WRITE else statement
