"""Runs the command line as ``python -m peridothitch``."""

from peridothitch.cli import main

if __name__ == "__main__":
    main.main()
