"""Adds the platform adapter to the import path, as `python3 platform/run.py` does."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform"))
