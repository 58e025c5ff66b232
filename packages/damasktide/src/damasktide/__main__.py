"""Runs the command line with ``python -m damasktide``."""

from damasktide.cli import main

if __name__ == "__main__":
    main(prog_name="damasktide")
