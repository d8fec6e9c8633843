"""Makes the adapter importable from a checkout."""

import sys
from pathlib import Path


def add_adapter_to_path() -> None:
    """Adds the adapter's folder to `sys.path`; it is not part of the product's package."""
    folder = str(Path(__file__).resolve().parents[4] / "platform")
    if folder not in sys.path:
        sys.path.append(folder)
