"""`python -m finchwayd`: the same as the command `finchwayd`."""

from finchwayd import main

if __name__ == "__main__":
    main()
