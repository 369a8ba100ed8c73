"""Keeps an unexpected exception of one step from ending what is done around it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


def report_error(message: str, error: BaseException) -> None:
    """Pass an exception to the event loop's exception handler, which counts and logs it."""
    context = {"message": message, "exception": error}
    asyncio.get_running_loop().call_exception_handler(context)


def run_contained(message: str, step: Callable[..., object], *arguments: object) -> bool:
    """Call a step, and return whether it raised no exception; one is reported."""
    try:
        step(*arguments)
    except Exception as error:
        report_error(message, error)
        return False
    return True
