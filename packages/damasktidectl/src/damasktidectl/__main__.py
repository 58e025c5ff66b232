"""Runs damasktidectl as ``python -m damasktidectl``."""

from damasktidectl.cli import main

if __name__ == "__main__":
    main()
