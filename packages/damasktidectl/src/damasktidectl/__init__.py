"""Command line for operators of damasktide."""
