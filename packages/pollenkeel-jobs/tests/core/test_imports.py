"""Guards against modules that import each other, if only for their types.

Such modules can't be read, tested or changed one without the other.
"""

import ast
from graphlib import TopologicalSorter
from pathlib import Path

import pollenkeel_jobs.core

PREFIX = "pollenkeel_jobs.core."


def find_imports(path):
    """Return the modules of this package that a module names in its imports."""
    nodes = ast.walk(ast.parse(path.read_text()))
    modules = {node.module or "" for node in nodes if isinstance(node, ast.ImportFrom)}
    return {name.removeprefix(PREFIX) for name in modules if name.startswith(PREFIX)}


def test_no_modules_import_each_other():
    """Guards against the cycle that ``leader`` and ``order_sender`` had."""
    directory = Path(pollenkeel_jobs.core.__file__).parent
    imports_by_module = {
        path.stem: find_imports(path) for path in directory.glob("*.py")
    }
    # Raises CycleError, which names the modules.
    order = list(TopologicalSorter(imports_by_module).static_order())
    assert order.index("order_sender") < order.index("leader")
