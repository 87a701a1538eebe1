"""Starts `ebonyrack-routed`, or says why what was built can't be loaded."""

from __future__ import annotations

import json
import sys

from ebonyrack.building.build_info import describe_mismatch

EXIT_NOT_BUILT = 3


def main() -> int:
    """Run the program.

    Returns:
        The exit status.
    """
    try:
        from ebonyrack.scripts import route_daemon
    except ImportError as error:
        line = {
            "level": "error",
            "event": "build_not_loaded",
            "reason": str(error),
            "build": describe_mismatch(),
            "remedy": "run the build of deploy/system.toml",
        }
        print(json.dumps(line), file=sys.stderr)
        return EXIT_NOT_BUILT
    return route_daemon.main()


if __name__ == "__main__":
    sys.exit(main())
