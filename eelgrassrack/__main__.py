"""Run the command line with `python -m eelgrassrack`."""

import sys

from .ui import main

if __name__ == "__main__":
    sys.exit(main())
