"""Runs the `finchwayd` command as `python -m finchwayd`."""

from finchwayd import main

if __name__ == "__main__":
    main()
