import sys
from pathlib import Path

here = Path(__file__).parent
for folder in (here, here.parent / "net", here.parent / "fleet"):
    if str(folder) not in sys.path:
        sys.path.insert(0, str(folder))
