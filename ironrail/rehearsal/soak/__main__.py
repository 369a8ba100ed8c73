"""`python -m ironrail.rehearsal.soak`."""

from __future__ import annotations

from ironrail.rehearsal.soak.command import main

if __name__ == "__main__":
    main()
