"""Makes the platform's adapter and the helpers of its tests importable."""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parents[1] / "platform"), str(FOLDER)]
