"""Logging setup: JSON lines, or plain text for a terminal."""

from __future__ import annotations

import logging
import time

import msgspec

from finchway.observe._writer import LogWriter


class JsonFormatter(logging.Formatter):
    """Formats each record as a JSON object on one line."""

    def __init__(self, instance: str) -> None:
        super().__init__()
        self._instance = instance

    def format(self, record: logging.LogRecord) -> str:
        line = {
            "time": time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
            + f".{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "instance": self._instance,
            "logger": record.name,
            "message": record.getMessage(),
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


class LogWriterHandler(logging.Handler):
    """Queues records at a `LogWriter`; debug and info lines are dropped first."""

    def __init__(self, writer: LogWriter) -> None:
        super().__init__()
        self._writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        self._writer.put(self.format(record).encode(), record.levelno >= logging.WARNING)


def configure_logs(
    instance: str, level: str, as_json: bool, writer: LogWriter | None = None
) -> None:
    """Configure the root logger to use `writer`, or standard error if it is None."""
    handler = LogWriterHandler(writer) if writer is not None else logging.StreamHandler()
    if as_json:
        handler.setFormatter(JsonFormatter(instance))
    else:
        pattern = f"%(asctime)s %(levelname)-7s {instance} %(name)s: %(message)s"
        handler.setFormatter(logging.Formatter(pattern))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    for name in ("hypercorn.error", "hypercorn.access", "httpcore", "hpack"):
        logging.getLogger(name).setLevel(logging.WARNING)
