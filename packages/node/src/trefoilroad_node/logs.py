"""Set-up of structured logs."""

import logging
import sys
from typing import Any

import structlog


def configure_logs(*,
                   log_format: str,
                   level: str,
                   node_id: str,
                   stream: Any = None) -> None:
    """Sets up logging for the whole process.

    Args:
        log_format: "json" or "console".
        level: Lowest level that is logged.
        node_id: Name of the node, added to each line as "node".
        stream: Output of the lines; None for standard error.
    """
    renderer: structlog.types.Processor = structlog.processors.JSONRenderer()
    if log_format == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info, renderer
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]),
        logger_factory=structlog.PrintLoggerFactory(file=stream or sys.stderr))
    structlog.contextvars.bind_contextvars(node=node_id)
