"""Crowds of clients outside the limits, against real processes; run one test at a time."""
