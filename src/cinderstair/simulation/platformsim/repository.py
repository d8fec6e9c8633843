"""Where the adapter lies in a checkout."""

import sys
from pathlib import Path


def see_adapter() -> None:
    """Puts the folder of the adapter on the path; it is not part of the product's package."""
    folder = str(Path(__file__).resolve().parents[4] / "platform")
    if folder not in sys.path:
        sys.path.append(folder)
