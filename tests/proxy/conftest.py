"""Makes the helper modules of this directory and of tests/net importable."""

import sys
from pathlib import Path

here = Path(__file__).parent
for folder in (here, here.parent / "net"):
    if str(folder) not in sys.path:
        sys.path.insert(0, str(folder))
