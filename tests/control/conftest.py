"""Tests of the lighthouse find their kit beside them."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
