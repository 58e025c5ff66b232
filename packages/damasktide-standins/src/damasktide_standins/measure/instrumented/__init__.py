"""An entry instance that counts bytes and samples its stacks."""
