"""The ``cherrylane`` command-line tool for operators."""
