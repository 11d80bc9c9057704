"""The command `pinward`, on click: `main.py` gathers its groups, `shown.py` has what they share.

Bare `python -m pinward` never comes here: it is the front. Exit 0: done; 1: what was asked did not hold; 2:
wrong words or a faulty file, told in one plain line a fault.
"""

from __future__ import annotations


def main() -> int:
    """Runs the command line; its exit status."""
    try:
        import click  # noqa: F401
    except ImportError:
        import sys

        print("pinward: the command needs the extra: pip install 'pinward[control]'", file=sys.stderr)
        return 2
    from pinward.command.main import run

    return run()
